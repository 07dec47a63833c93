package pick

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetdock/limpetdock/fleet"
)

// policies holds all policies.
var policies = []string{
	fleet.PolicyRandom, fleet.PolicyRoundRobin, fleet.PolicyTwoChoices,
	fleet.PolicyTwoLoad, fleet.PolicyLeastLoad, fleet.PolicyIdleHints, fleet.PolicyProbe,
}

// share simulates one region's entries over six servers, with a fault from two
// seconds on, and returns the share of requests that the first server received
// between two times after the fault.
func share(policy string, fault func(*server), from, to time.Duration) float64 {
	const faultAt = 2 * time.Second
	at := places(1, 1, 6)
	s := newSim(policy, at, at[1:4])
	all, first := 0, 0
	s.observed = func(t *Target) {
		if s.now < faultAt+from || s.now > faultAt+to {
			return
		}
		all++
		if t.VM == at[0].VM {
			first++
		}
	}
	for _, e := range s.entries {
		// With 5 ms and 36 slots the capacity is 7200 requests a second.
		s.load(e, 7200*0.6/3, faultAt+to)
	}
	s.run(faultAt)
	fault(s.servers[at[0].VM])
	s.run(faultAt + to)
	return float64(first) / float64(all)
}

// A backend server loses its database and answers 500 within a millisecond.
// It never has requests in flight, so a choice by requests in flight sends it nearly
// all requests, and most callers see errors although five of six servers are healthy.
func TestServerThatFailsFastGetsFewRequests(t *testing.T) {
	for _, p := range policies {
		t.Run(p, func(t *testing.T) {
			got := share(p, func(s *server) { s.failsAfter = time.Millisecond }, 100*time.Millisecond, 2*time.Second)
			t.Logf("share of the failing server: %.4f", got)
			require.Less(t, got, 0.02)
		})
	}
}

// The node beside a backend server is down: connections are refused at once.
func TestUnreachableServerIsTriedRarely(t *testing.T) {
	for _, p := range policies {
		t.Run(p, func(t *testing.T) {
			got := share(p, func(s *server) { s.down = true }, 100*time.Millisecond, 2*time.Second)
			require.Less(t, got, 0.01)
		})
	}
}

// A neighbour uses the CPU: a server suddenly needs ten times as long, while its last
// report and its health endpoint still show no trouble.
func TestSlowServerIsUsedLessWithin100Milliseconds(t *testing.T) {
	slow := func(s *server) { s.service = 50 * time.Millisecond }
	limits := map[string]float64{fleet.PolicyLeastLoad: 0.04, fleet.PolicyTwoLoad: 0.04, fleet.PolicyTwoChoices: 0.08}
	for policy, limit := range limits {
		fair := share(policy, func(*server) {}, 100*time.Millisecond, time.Second)
		require.InDelta(t, 1.0/6, fair, 0.03, policy)
		got := share(policy, slow, 100*time.Millisecond, time.Second)
		t.Logf("%s: share of the slow server: %.4f", policy, got)
		require.Less(t, got, limit, policy)
	}
}

// A server keeps reporting that it is idle, but the node's own requests there get no
// answer.
func TestOwnRequestsInFlightOutweighIdleReport(t *testing.T) {
	s := newService(fleet.DefaultPolicy, Place{"x", "r0z0", "r0"}, places(1, 1, 2), simSlots, NewEntries(places(1, 1, 2)))
	liar, honest := s.Targets[0], s.Targets[1]
	for _, target := range s.Targets {
		target.RecordOutcome(target.Begin(0, true), 5*time.Millisecond, Good, rand.New(rand.NewPCG(1, 1)))
		target.End()
	}
	liar.Begin(10*time.Millisecond, true)
	now := 60 * time.Millisecond
	liar.RecordReport(Report{Slots: simSlots, At: now, Service: time.Microsecond})
	honest.RecordReport(Report{Running: 3, Slots: simSlots, At: now, Service: 5 * time.Millisecond})
	require.Less(t, honest.Cost(now), liar.Cost(now))
}

// fullSize returns the Services of one of 890 nodes with 59 services, with requests
// in flight and a report at every target.
func fullSize(policy string) []*Service {
	all := places(3, 4, 75)[:890]
	entries := NewEntries(all)
	services := make([]*Service, 0, 59)
	for i := range 59 {
		var mine []Place
		for j := i; j < len(all); j += 59 {
			mine = append(mine, all[j])
		}
		s := newService(policy, Place{"here", "r0z0", "r0"}, mine, 9, entries)
		for _, target := range s.Targets {
			target.RecordOutcome(target.Begin(0, true), time.Millisecond, Good, SharedRand)
			target.Begin(time.Millisecond, true)
			target.RecordReport(Report{Running: 3, Slots: 9, Service: time.Millisecond, At: time.Millisecond})
		}
		services = append(services, s)
	}
	return services
}

func TestPickDoesNotAllocate(t *testing.T) {
	for _, p := range policies {
		services := fullSize(p)
		i, ask := 0, &Selection{Draw: Draw{Rand: SharedRand}}
		allocs := testing.AllocsPerRun(2000, func() {
			i++
			ask.Now = time.Duration(i) * time.Millisecond
			services[i%len(services)].Choose(ask)
		})
		require.Zero(t, allocs, p)
	}
}

func BenchmarkPick(b *testing.B) {
	for _, p := range policies {
		b.Run(p, func(b *testing.B) {
			services := fullSize(p)
			b.ReportAllocs()
			i, ask := 0, &Selection{Draw: Draw{Rand: SharedRand}}
			for b.Loop() {
				i++
				ask.Now = time.Duration(i) * time.Microsecond
				services[i%len(services)].Choose(ask)
			}
		})
	}
}

func pickAt(s *Service, now time.Duration) *Target {
	return s.Choose(&Selection{Draw: Draw{now, SharedRand}})
}

func TestEveryPolicyUsesEveryTarget(t *testing.T) {
	for _, p := range policies {
		s := newService(p, Place{"x", "r0z0", "r0"}, places(1, 1, 5), simSlots, NewEntries(places(1, 1, 5)))
		var seen []string
		for i := range 200 {
			target := pickAt(s, time.Duration(i))
			if !slices.Contains(seen, target.VM) {
				seen = append(seen, target.VM)
			}
		}
		require.Len(t, seen, 5, p)
	}
}
