package pick

import (
	"math/rand/v2"
	"time"

	"github.com/limpetdock/limpetdock/fleet"
)

// Draw holds the external inputs of a choice. With the same Draw and the same Stats
// every policy chooses the same target.
type Draw struct {
	// Now is the time since the node's start.
	Now time.Duration
	// Rand must be safe for concurrent use when the Draw is shared.
	Rand *rand.Rand
}

// Policy chooses among candidates, which are never empty. It must not keep the
// slice. Implementations are safe for concurrent use and don't allocate.
type Policy interface {
	Choose(d Draw, among []*Target) *Target
}

// newPolicy returns the policy of a name, or the default policy for an unknown name,
// which the validation of the configuration rules out.
func newPolicy(name string) Policy {
	switch name {
	case fleet.PolicyRandom:
		return random{}
	case fleet.PolicyRoundRobin:
		return &roundRobin{}
	case fleet.PolicyTwoChoices:
		return twoChoices{}
	case fleet.PolicyLeastLoad:
		return leastLoad{}
	case fleet.PolicyTwoLoad:
		return twoLoad{}
	case fleet.PolicyIdleHints:
		return idleHints{}
	case fleet.PolicyProbe:
		return probe{}
	}
	return newPolicy(fleet.DefaultPolicy)
}

// twoOf returns two different random candidates, or the same one twice if there is
// only one.
func twoOf(rnd *rand.Rand, among []*Target) (a, b *Target) {
	if len(among) == 1 {
		return among[0], among[0]
	}
	i := rnd.IntN(len(among))
	j := rnd.IntN(len(among) - 1)
	if j >= i {
		j++
	}
	return among[i], among[j]
}

// globalSource draws from math/rand/v2's own source, which is safe for
// concurrent use.
type globalSource struct{}

func (globalSource) Uint64() uint64 { return rand.Uint64() }

// SharedRand is the random source of traffic goroutines. Safe for concurrent use.
var SharedRand = rand.New(globalSource{})
