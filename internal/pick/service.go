package pick

import (
	"slices"
	"sync/atomic"
	"time"

	"github.com/limpetdock/limpetdock/fleet"
	"github.com/limpetdock/limpetdock/internal/config"
	"github.com/limpetdock/limpetdock/internal/place"
)

// Service is one service with its usable targets, nearest first.
type Service struct {
	*config.Service
	// Stamp is sent with requests to guards and describes how they were routed.
	Stamp string
	// Targets are ordered by distance: own zone, own region, other regions.
	Targets []*Target
	// InRegion counts the targets of the own region, which come first.
	InRegion int
	// Homes holds all declared targets, from which a key's home target is derived.
	Homes []*Target
	// inZone counts the targets of the own availability zone, which come first.
	inZone int
	policy Policy
	shared *Shared
}

// Shared is the state of one service at this node. It is kept from one View to the
// next. Safe for
// concurrent use.
type Shared struct {
	// typical is a moving average over all targets of the time to an answer
	// without the round trip, in nanoseconds.
	typical atomic.Int64
	// lastChosen is when a target was last chosen by probes, in nanoseconds.
	lastChosen atomic.Int64
	// busy is a moving average over all reports of the number of requests of other
	// nodes for each slot, as the bits of a float64.
	busy  atomic.Uint64
	spill spill
	// exchangeTimes holds the durations of complete exchanges, from which the hedge
	// delay is computed.
	exchangeTimes durations
}

// NewService returns a Service over targets that are ordered nearest first. It takes
// ownership of the Targets; shared is kept from one View to the next.
func NewService(c *config.Service, targets, homes []*Target, inRegion int, shared *Shared) *Service {
	for _, t := range slices.Concat(targets, homes) {
		t.shared = shared
	}
	s := &Service{
		Service: c, Targets: targets, Homes: homes, InRegion: inRegion,
		policy: newPolicy(c.Policy), shared: shared,
	}
	for s.inZone < inRegion && targets[s.inZone].Distance <= place.SameZone {
		s.inZone++
	}
	return s
}

// Selection holds the inputs and buffers of one request's choices of a target. It is
// reused for every choice of the request, by one goroutine at a time.
type Selection struct {
	Draw
	// Remaining is the time until the request's deadline; zero is unknown.
	Remaining time.Duration
	// Tried holds the targets at which the request was already attempted.
	Tried []*Target
	// candidates is kept here so that a choice doesn't allocate.
	candidates candidateSet
}

// Choose chooses a target that wasn't tried, or nil. It prefers the own zone, then
// the own region, as long as that costs no more than going further, including the
// round trip. Unreachable targets are chosen only if there are no others.
func (s *Service) Choose(a *Selection) *Target {
	if s.Policy == fleet.PolicyProbe {
		s.shared.lastChosen.Store(int64(a.Now))
	}
	g := &a.candidates
	g.collect(s, a)
	if len(g.home) > 0 {
		if !s.leavesRegion(a, g) {
			return s.policy.Choose(a.Draw, g.nearest(a.Now))
		}
	}
	if len(g.far) == 0 {
		return nil
	}
	return s.policy.Choose(a.Draw, g.far)
}

// nearest returns the own zone's candidates if the best of them costs no more than
// the best of the rest of the region, round trip included; else all candidates of
// the region.
func (g *candidateSet) nearest(now time.Duration) []*Target {
	zone, rest := g.home[:g.inZone], g.home[g.inZone:]
	if len(zone) > 0 && (len(rest) == 0 || cheapest(now, zone) <= cheapest(now, rest)) {
		return zone
	}
	return g.home
}

// leavesRegion reports whether the request is sent to another region although the
// own one has candidates. If so, the other regions' candidates have been collected.
func (s *Service) leavesRegion(a *Selection, g *candidateSet) bool {
	if !s.shared.spill.due(a.Now) && s.shared.spill.share.Load() == 0 {
		return false
	}
	g.collectFar(s, a, usable)
	if len(g.far) == 0 {
		return false
	}
	return s.shared.spill.leaves(a, shortest(a.Now, g.home), shortest(a.Now, g.far))
}

func cheapest(now time.Duration, among []*Target) float64 {
	least := among[0].Cost(now)
	for _, t := range among[1:] {
		least = min(least, t.Cost(now))
	}
	return least
}

// shortest returns the least delay among targets.
func shortest(now time.Duration, among []*Target) float64 {
	least := among[0].delay(now)
	for _, t := range among[1:] {
		least = min(least, t.delay(now))
	}
	return least
}

// Pick chooses a target that isn't in tried, or nil. It allocates a Selection, so it
// is for callers that choose rarely.
func (s *Service) Pick(now time.Duration, tried []*Target) *Target {
	return s.Choose(&Selection{Draw: Draw{Now: now, Rand: SharedRand}, Tried: tried})
}
