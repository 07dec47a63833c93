package pick

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/limpetdock/limpetdock/fleet"
	"github.com/limpetdock/limpetdock/internal/config"
	"github.com/limpetdock/limpetdock/internal/place"
)

// The hedge delay is the 95th percentile of recent durations, at most an eighth too
// long and never too short, at any speed of the service.
func TestHedgeDelayFollowsRecentDurations(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rnd := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		var d durations
		for range rapid.IntRange(0, 2000).Draw(t, "of before") {
			d.add(time.Duration(rnd.Int64N(int64(time.Minute))))
		}
		scale := rapid.Int64Range(int64(time.Millisecond), int64(10*time.Second)).Draw(t, "scale")
		var seen []time.Duration
		// After two generations no earlier samples remain.
		for i := range 3 * generation {
			took := time.Duration(rnd.ExpFloat64() * float64(scale))
			d.add(took)
			if i >= 2*generation {
				seen = append(seen, took)
			}
		}
		slices.Sort(seen)
		// It may cover any 256 to 512 of the last samples, whose own p95 differs.
		low, high := seen[len(seen)*88/100], seen[len(seen)*99/100]
		require.GreaterOrEqual(t, d.percentile95(), low)
		require.LessOrEqual(t, d.percentile95(), high+high/subBuckets+time.Microsecond)
	})
}

func TestBucketsCoverEveryDuration(t *testing.T) {
	for _, took := range []time.Duration{-1, 0, 1, 999, time.Microsecond, 15 * time.Microsecond, 16 * time.Microsecond, time.Second, 24 * time.Hour} {
		at := bucketOf(took)
		require.Less(t, at, durationBuckets)
		if took < 10*time.Minute {
			require.Greater(t, upperEdge(at), took)
			require.LessOrEqual(t, upperEdge(at), max(took, 0)+max(took, 0)/subBuckets+time.Microsecond)
		}
	}
}

// hedgeService returns a service of five targets: two in the own zone, one in another
// zone of the region, two in another region.
func hedgeService() *Service {
	distances := []place.Distance{place.SameZone, place.SameZone, place.SameRegion, place.OtherRegion, place.OtherRegion}
	var targets []*Target
	for i, d := range distances {
		targets = append(targets, &Target{
			Place: Place{VM: string(rune('a' + i))}, Slots: 4, Guard: "127.0.0.1:1", Distance: d, Stat: &Stat{},
		})
	}
	c := &config.Service{Service: fleet.Service{Name: "s", Policy: fleet.PolicyRandom}}
	return NewService(c, targets, targets, 3, &Shared{})
}

// A copy helps only if it goes to a healthy server. A copy to another region costs
// traffic between regions for every slow request.
func TestChooseHedgeTargets(t *testing.T) {
	eject := func(targets ...*Target) {
		for _, t := range targets {
			t.Stat.health.Store(&health{phase: ejected, until: time.Hour})
		}
	}
	for name, c := range map[string]struct {
		first  int
		change func(home, far []*Target)
		want   string
	}{
		"never the first target":         {0, func(_, _ []*Target) {}, "b"},
		"home, though the first is far":  {3, func(_, _ []*Target) {}, "ab"},
		"not one that is ejected":        {0, func(home, _ []*Target) { eject(home[1]) }, "c"},
		"not one that leaves":            {0, func(home, _ []*Target) { home[1].Leaving = true }, "c"},
		"far, if home has no other":      {0, func(home, _ []*Target) { eject(home[1:]...) }, "de"},
		"not far, because home refused":  {0, func(home, _ []*Target) { eject(home[1]); home[2].Stat.Avoid(time.Hour) }, ""},
		"none, if none is healthy":       {0, func(home, far []*Target) { eject(home[1:]...); eject(far...) }, ""},
		"not ejected ones, even if most": {2, func(home, far []*Target) { eject(home...); eject(far[0]) }, "e"},
		"none, if no slot is free":       {0, func(home, _ []*Target) { home[1].Stat.InFlight.Store(4) }, ""},
		"none, if none has an address":   {0, func(home, far []*Target) { home[1].Guard, home[2].Guard, far[0].Guard, far[1].Guard = "", "", "", "" }, ""},
	} {
		t.Run(name, func(t *testing.T) {
			s := hedgeService()
			c.change(s.Targets[:3], s.Targets[3:])
			got := map[string]bool{}
			for range 200 {
				ask := &Selection{Draw: Draw{Now: time.Second, Rand: SharedRand}, Tried: s.Targets[c.first : c.first+1]}
				if chosen := s.ChooseHedge(ask); chosen != nil {
					got[chosen.VM] = true
				}
			}
			for vm := range got {
				require.Contains(t, c.want, vm)
			}
			require.Len(t, got, len(c.want))
		})
	}
}

// When a copy answers first, the other exchange is canceled. Counted as a quick answer,
// it would make a frozen server the preferred one; counted as a failure, it would eject
// a server that was only slower.
func TestTimeOfSupersededExchangeIsALowerBound(t *testing.T) {
	end := func(took time.Duration, o Outcome) *Target {
		s := hedgeService()
		target := s.Targets[0]
		for range 50 {
			m := target.Begin(0, true)
			target.RecordOutcome(m, 10*time.Millisecond, Good, SharedRand)
			target.End()
		}
		m := target.Begin(time.Second, true)
		target.RecordOutcome(m, time.Second+took, o, SharedRand)
		target.End()
		return target
	}
	now := time.Second + time.Millisecond
	before := end(0, Neutral).Cost(now)
	require.Equal(t, before, end(2*time.Millisecond, Superseded).Cost(now), "a time below the average is no evidence")
	slow := end(time.Second, Superseded)
	require.Greater(t, slow.Cost(now), 5*before)
	require.Zero(t, slow.Stat.failing.Load())
	require.Nil(t, slow.Stat.health.Load())
	require.Zero(t, slow.Stat.InFlight.Load())
}
