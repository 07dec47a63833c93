package pick

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetdock/limpetdock/fleet"
	"github.com/limpetdock/limpetdock/internal/place"
)

// homeShares runs two regions of two servers each, with all callers in the
// first and a share of what its servers can do, and gives the share of requests that stayed there, for each quarter of a
// second. change is called with the simulation at the times it names.
func homeShares(policy string, service time.Duration, load float64, until time.Duration, change map[time.Duration]func(home []*server)) []float64 {
	at := places(2, 2, 1)
	s := newSim(policy, at, at[:2])
	for _, one := range s.servers {
		one.service = service
	}
	// What the two servers at home can do.
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

// At 70 % load home is busy as on any day. A region that is left for this costs
// every caller a round trip, and the traffic between regions is billed.
func TestRegionIsNotLeftWithoutNeed(t *testing.T) {
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
// Every entry sees this at the same time. If each moved everything at once, the
// load would swing between the regions, and users would see waves of slow answers.
func TestSpillOverDoesNotOscillate(t *testing.T) {
	shares := homeShares(fleet.DefaultPolicy, short, 1.3, 10*time.Second, nil)
	settled := shares[len(shares)/2:]
	t.Logf("share at home, by quarter second: %.2f", shares)
	require.Greater(t, slices.Min(settled), 0.45, "home stays in use")
	require.Less(t, slices.Max(settled), 0.95, "what home can't carry leaves")
	require.Less(t, slices.Max(settled)-slices.Min(settled), 0.35)
}

// A region is cut off for three seconds: its targets can't be reached. Requests
// go to the other region at once. When it is back, its servers are cold and its
// links are empty; if every entry came back in the same moment, they would
// fall over again.
func TestLostRegionIsLeftAtOnceAndRampedWhenBack(t *testing.T) {
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
		require.Less(t, slices.Max(back), 0.9, "%s: no herd when it is back: %v", p, shares)
		require.Greater(t, slices.Min(end), 0.95, "%s: home again in the end: %v", p, shares)
	}
}

// A request that must be answered in 10 ms can't be helped by a region 16 ms away.
func TestRegionIsLeftOnlyIfTheDeadlineAllows(t *testing.T) {
	s := newService(fleet.DefaultPolicy, Place{"x", "r0z0", "r0"}, places(2, 1, 1), simSlots, NewEntries(places(2, 1, 1)))
	home := s.Targets[0]
	home.Begin(0, true)
	s.shared.spill.share.Store(spillUnit)
	now := 500 * time.Millisecond
	ask := &Ask{Draw: Draw{now, SharedRand}, Left: 10 * time.Millisecond}
	require.Same(t, home, s.Choose(ask))
	ask.Left = time.Second
	require.NotSame(t, home, s.Choose(ask))
}

// A database that all servers use is down and every server answers 500. Were
// all of them ejected, the few that are let back in would get everything.
func TestTooManyOutliersAreNotEjected(t *testing.T) {
	for failing, all := range map[int]bool{2: false, 3: false, 4: true, 6: true} {
		s := newService(fleet.PolicyRandom, Place{"x", "r0z0", "r0"}, places(1, 1, 6), simSlots, NewEntries(places(1, 1, 6)))
		for _, target := range s.Targets[:failing] {
			for range 10 {
				target.Headers(target.Begin(0, true), time.Millisecond, Failed, SharedRand)
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

// A backend server was replaced; its caches are empty. The node beside it is
// new too, which its incarnation tells.
func TestNewIncarnationIsRamped(t *testing.T) {
	s := newService(fleet.PolicyRandom, Place{"x", "r0z0", "r0"}, places(1, 1, 2), simSlots, NewEntries(places(1, 1, 2)))
	fresh := s.Targets[0]
	fresh.Stat.Learn(Identity{Incarnation: 1})
	fresh.Stat.Learn(Identity{Incarnation: 2})
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
