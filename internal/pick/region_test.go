package pick

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetdock/limpetdock/fleet"
	"github.com/limpetdock/limpetdock/internal/place"
)

// homeShares simulates two regions of two servers each. All callers are in the first
// region; load is relative to the capacity of its servers. It returns the share of
// requests that stayed in the first region, for each quarter of a second. change holds
// changes of its servers by time.
func homeShares(policy string, service time.Duration, load float64, until time.Duration, change map[time.Duration]func(home []*server)) []float64 {
	at := places(2, 2, 1)
	s := newSim(policy, at, at[:2])
	for _, one := range s.servers {
		one.service = service
	}
	// Relative to the capacity of the two servers of the own region.
	perSecond := load * 2 * simSlots / service.Seconds()
	const bin = 250 * time.Millisecond
	all, stayed := make([]float64, until/bin), make([]float64, until/bin)
	s.observed = func(t *Target) {
		i := min(int(s.now/bin), len(all)-1)
		all[i]++
		if t.Distance < place.OtherRegion {
			stayed[i]++
		}
	}
	for _, e := range s.entries {
		s.load(e, perSecond/float64(len(s.entries)), until)
	}
	home := []*server{s.servers[at[0].VM], s.servers[at[1].VM]}
	for when, f := range change {
		s.after(when, func() { f(home) })
	}
	s.run(until)
	for i := range stayed {
		stayed[i] /= all[i]
	}
	return stayed
}

const short = 5 * time.Millisecond

// At 70 % load the own region has capacity for all requests. Sending requests to
// another region costs every caller a round trip, and traffic between regions is
// billed.
func TestRequestsStayInRegionAt70PercentLoad(t *testing.T) {
	for _, p := range policies {
		for _, service := range []time.Duration{short, 40 * time.Millisecond} {
			shares := homeShares(p, service, 0.7, 5*time.Second, nil)
			stayed := 0.0
			for _, one := range shares {
				stayed += one / float64(len(shares))
			}
			t.Logf("%s, %v: %.3f stayed", p, service, stayed)
			require.Greater(t, stayed, 0.98, "%s, %v: %.2f", p, service, shares)
		}
	}
}

// The own region has 1.3 times the load it can carry, the other one is idle.
// Every entry sees this at the same time. If each moved all requests at once, the load
// would oscillate between the regions, and callers would see periods of slow answers.
func TestSpillOverDoesNotOscillate(t *testing.T) {
	shares := homeShares(fleet.DefaultPolicy, short, 1.3, 10*time.Second, nil)
	settled := shares[len(shares)/2:]
	t.Logf("share in the own region, by quarter second: %.2f", shares)
	require.Greater(t, slices.Min(settled), 0.45, "the own region stays in use")
	require.Less(t, slices.Max(settled), 0.95, "load beyond the capacity leaves the region")
	require.Less(t, slices.Max(settled)-slices.Min(settled), 0.35)
}

// A region is unreachable for three seconds. Requests must go to the other region at
// once. When it is available again, its caches and connection pools are cold. If every
// entry returned at the same moment, its servers would be overloaded again.
func TestUnreachableRegionIsLeftAtOnceAndRampedAfterRecovery(t *testing.T) {
	for _, p := range policies {
		down := func(to bool) func([]*server) {
			return func(home []*server) {
				for _, s := range home {
					s.down = to
				}
			}
		}
		shares := homeShares(p, short, 0.5, 14*time.Second, map[time.Duration]func([]*server){
			2 * time.Second: down(true), 5 * time.Second: down(false),
		})
		lost, back, end := shares[9:20], shares[20:24], shares[len(shares)-4:]
		require.Less(t, slices.Max(lost), 0.02, "%s: while it is lost: %v", p, shares)
		require.Less(t, slices.Max(back), 0.9, "%s: no simultaneous return when it is available again: %v", p, shares)
		require.Greater(t, slices.Min(end), 0.95, "%s: all in the own region at the end: %v", p, shares)
	}
}

// A request with 10 ms until its deadline can't be answered by a region at a distance
// of 16 ms.
func TestRegionIsLeftOnlyIfTheDeadlineAllows(t *testing.T) {
	s := newService(fleet.DefaultPolicy, Place{"x", "r0z0", "r0"}, places(2, 1, 1), simSlots, NewEntries(places(2, 1, 1)))
	home := s.Targets[0]
	home.Begin(0, true)
	s.shared.spill.share.Store(spillUnit)
	now := 500 * time.Millisecond
	ask := &Selection{Draw: Draw{now, SharedRand}, Remaining: 10 * time.Millisecond}
	require.Same(t, home, s.Choose(ask))
	ask.Remaining = time.Second
	require.NotSame(t, home, s.Choose(ask))
}

// A database that all servers use is down, and every server answers 500. If all of
// them were ejected, the first ones that return would get all requests.
func TestTooManyOutliersAreNotEjected(t *testing.T) {
	for failing, all := range map[int]bool{2: false, 3: false, 4: true, 6: true} {
		s := newService(fleet.PolicyRandom, Place{"x", "r0z0", "r0"}, places(1, 1, 6), simSlots, NewEntries(places(1, 1, 6)))
		for _, target := range s.Targets[:failing] {
			for range 10 {
				target.RecordOutcome(target.Begin(0, true), time.Millisecond, Failed, SharedRand)
				target.End()
			}
		}
		var seen []string
		for range 500 {
			seen = append(seen, pickAt(s, 2*time.Millisecond).VM)
		}
		slices.Sort(seen)
		want := 6 - failing
		if all {
			want = 6
		}
		require.Len(t, slices.Compact(seen), want, "%d of 6 fail", failing)
	}
}

// A backend server was replaced, so its caches are empty. The node beside it is new
// too, which its new incarnation shows.
func TestNewIncarnationIsRamped(t *testing.T) {
	s := newService(fleet.PolicyRandom, Place{"x", "r0z0", "r0"}, places(1, 1, 2), simSlots, NewEntries(places(1, 1, 2)))
	fresh := s.Targets[0]
	fresh.Stat.UpdateIdentity(Identity{Incarnation: 1})
	fresh.Stat.UpdateIdentity(Identity{Incarnation: 2})
	count := func(now time.Duration) (n int) {
		for range 1000 {
			if pickAt(s, now) == fresh {
				n++
			}
		}
		return n
	}
	require.Zero(t, count(0)/100, "at first nearly nothing")
	require.InDelta(t, 50, count(time.Millisecond), 50)
	require.InDelta(t, 250, count(rampFor/2), 80)
	require.InDelta(t, 500, count(rampFor), 80)
}
