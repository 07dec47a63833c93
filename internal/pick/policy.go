package pick

import (
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/limpetdock/limpetdock/fleet"
	"github.com/limpetdock/limpetdock/internal/config"
)

// policy chooses among candidates, which are never empty.
type policy interface {
	choose(s *Service, among []*Target) *Target
}

// NewService returns a Service over targets that are ordered nearest first.
func NewService(c *config.Service, targets, homes []*Target, inRegion int) *Service {
	return &Service{
		Service: c, Targets: targets, Homes: homes, InRegion: inRegion,
		policy: policyOf(c.Policy), turn: &atomic.Uint32{},
	}
}

func policyOf(name string) policy {
	switch name {
	case fleet.PolicyRandom:
		return random{}
	case fleet.PolicyRoundRobin:
		return roundRobin{}
	}
	return twoChoices{}
}

// Pick chooses a target that isn't in tried, or nil. The own region goes first;
// other regions are used when no target of the own region is left.
func (s *Service) Pick(now time.Duration, tried []*Target) *Target {
	var room [maxCandidates]*Target
	if among := s.usable(room[:0], s.Targets[:s.InRegion], now, tried); len(among) > 0 {
		return s.policy.choose(s, among)
	}
	if among := s.usable(room[:0], s.Targets[s.InRegion:], now, tried); len(among) > 0 {
		return s.policy.choose(s, among)
	}
	return nil
}

// maxCandidates is how many candidates fit on the stack of a pick.
const maxCandidates = 32

// usable gathers targets that aren't leaving nor tried; those passed over for
// now are used only when there is nothing else.
func (s *Service) usable(room, from []*Target, now time.Duration, tried []*Target) []*Target {
	for _, t := range from {
		if t.Leaving || t.Guard == "" || t.Stat.Avoided(now) || among(tried, t) {
			continue
		}
		room = append(room, t)
	}
	if len(room) > 0 {
		return room
	}
	for _, t := range from {
		if t.Leaving || t.Guard == "" || among(tried, t) {
			continue
		}
		room = append(room, t)
	}
	return room
}

func among(list []*Target, t *Target) bool {
	for _, one := range list {
		if one.Place.VM == t.Place.VM {
			return true
		}
	}
	return false
}

type random struct{}

func (random) choose(_ *Service, among []*Target) *Target {
	return among[rand.IntN(len(among))]
}

type roundRobin struct{}

func (roundRobin) choose(s *Service, among []*Target) *Target {
	return among[int(s.turn.Add(1))%len(among)]
}

// twoChoices takes the less loaded of two random targets, by the node's own
// requests in flight (Mitzenmacher, "The Power of Two Choices in Randomized
// Load Balancing", 2001).
type twoChoices struct{}

func (twoChoices) choose(_ *Service, among []*Target) *Target {
	if len(among) == 1 {
		return among[0]
	}
	i := rand.IntN(len(among))
	j := rand.IntN(len(among) - 1)
	if j >= i {
		j++
	}
	a, b := among[i], among[j]
	if b.Stat.InFlight.Load() < a.Stat.InFlight.Load() {
		return b
	}
	return a
}
