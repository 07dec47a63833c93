package pick

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/limpetdock/limpetdock/internal/config"
)

// Service is one service with its usable targets, nearest first.
type Service struct {
	*config.Service
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
	spill   spill
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
	for s.inZone < inRegion && targets[s.inZone].Distance <= SameZone {
		s.inZone++
	}
	return s
}

// Ask is one request's question for a target.
type Ask struct {
	Draw
	// Left is what is left of the request's deadline; zero is not known.
	Left time.Duration
	// Tried are the targets that the request was offered to already.
	Tried []*Target
}

// Pick chooses a target that isn't in tried, or nil.
func (s *Service) Pick(now time.Duration, tried []*Target) *Target {
	return s.Choose(Ask{Draw: Draw{Now: now, Rand: SharedRand}, Tried: tried})
}

// Choose chooses a target that wasn't tried, or nil. The own zone goes first,
// then the own region; either is left when it costs more than the way to
// the other. Targets that can't be reached are chosen only when there are no others.
func (s *Service) Choose(a Ask) *Target {
	g := gatherings.Get().(*gathering)
	defer gatherings.Put(g)
	g.gather(s, a)
	home := s.chooseHome(a, g)
	if len(g.far) == 0 {
		return home
	}
	if home == nil {
		return s.policy.Choose(a.Draw, g.far)
	}
	if s.InRegion == 0 || !s.shared.spill.leaves(a, home.Cost(a.Now), s.cheapest(a.Now, g.far)) {
		return home
	}
	return s.policy.Choose(a.Draw, g.far)
}

// chooseHome chooses in the own region.
func (s *Service) chooseHome(a Ask, g *gathering) *Target {
	var zone, region *Target
	if len(g.zone) > 0 {
		zone = s.policy.Choose(a.Draw, g.zone)
	}
	if len(g.region) > 0 {
		region = s.policy.Choose(a.Draw, g.region)
	}
	if zone == nil || region == nil {
		return or(zone, region)
	}
	if region.Cost(a.Now) < zone.Cost(a.Now) {
		return region
	}
	return zone
}

func or(a, b *Target) *Target {
	if a != nil {
		return a
	}
	return b
}

func (s *Service) cheapest(now time.Duration, among []*Target) float64 {
	least := among[0].Cost(now)
	for _, t := range among[1:] {
		least = min(least, t.Cost(now))
	}
	return least
}

var gatherings = sync.Pool{New: func() any { return &gathering{} }}
