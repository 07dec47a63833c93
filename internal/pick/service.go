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
	// Stamp goes with requests to guards, and says how they were routed.
	Stamp string
	// Targets are ordered by distance: own zone, own region, other regions.
	Targets []*Target
	// InRegion counts the targets of the own region, which come first.
	InRegion int
	// Homes are all targets as declared, by which a key's home is found.
	Homes []*Target
	// inZone counts the targets of the own availability zone, which come first.
	inZone int
	policy Policy
	shared *Shared
}

// Shared is the state of one service at this node. It outlives Views. Safe for
// concurrent use.
type Shared struct {
	// typical is a moving average over all targets of the time to an answer
	// without the round trip, in nanoseconds.
	typical atomic.Int64
	// asked is when a target was last chosen, in nanoseconds.
	asked atomic.Int64
	// busy is a moving average over all reports of the requests of other nodes for
	// each slot, as the bits of a float64.
	busy  atomic.Uint64
	spill spill
	// took is what whole exchanges took, by which copies are sent.
	took durations
}

// NewService returns a Service over targets that are ordered nearest first.
// The Targets are its own; shared is kept from one View to the next.
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

// Ask is one request's question for a target. It is used again for every
// choice of the request, by one goroutine at a time.
type Ask struct {
	Draw
	// Left is what is left of the request's deadline; zero is not known.
	Left time.Duration
	// Tried are the targets that the request was offered to already.
	Tried []*Target
	// candidates are here so that a choice doesn't allocate.
	candidates gathering
}

// Choose chooses a target that wasn't tried, or nil. The own zone goes first,
// then the own region; either is left when it costs more than the way to
// the other. Targets that can't be reached are chosen only when there are no others.
func (s *Service) Choose(a *Ask) *Target {
	if s.Policy == fleet.PolicyProbe {
		s.shared.asked.Store(int64(a.Now))
	}
	g := &a.candidates
	g.gather(s, a)
	if len(g.home) > 0 {
		if !s.leaves(a, g) {
			return s.policy.Choose(a.Draw, g.nearest(a.Now))
		}
	}
	if len(g.far) == 0 {
		return nil
	}
	return s.policy.Choose(a.Draw, g.far)
}

// nearest gives the own zone's candidates as long as one of them costs no more
// than the best of the rest of the region, the way there included; else all
// of the region's.
func (g *gathering) nearest(now time.Duration) []*Target {
	zone, rest := g.home[:g.inZone], g.home[g.inZone:]
	if len(zone) > 0 && (len(rest) == 0 || cheapest(now, zone) <= cheapest(now, rest)) {
		return zone
	}
	return g.home
}

// leaves says whether the request leaves the region although home would take
// it; the candidates outside are then gathered.
func (s *Service) leaves(a *Ask, g *gathering) bool {
	if !s.shared.spill.due(a.Now) && s.shared.spill.share.Load() == 0 {
		return false
	}
	g.takeFar(s, a, usable)
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

// shortest gives the least delay among targets.
func shortest(now time.Duration, among []*Target) float64 {
	least := among[0].delay(now)
	for _, t := range among[1:] {
		least = min(least, t.delay(now))
	}
	return least
}

// Pick chooses a target that isn't in tried, or nil, for callers that choose
// rarely: it allocates an Ask.
func (s *Service) Pick(now time.Duration, tried []*Target) *Target {
	return s.Choose(&Ask{Draw: Draw{Now: now, Rand: SharedRand}, Tried: tried})
}
