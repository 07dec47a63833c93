package pick

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetdock/limpetdock/fleet"
)

// slowest gives the time that one request in a thousand exceeds, while
// neighbours shift the service time of each of six servers every 8 ms.
func slowest(policy string, seed uint64) time.Duration {
	const until = 20 * time.Second
	at := places(1, 1, 6)
	s := newSim(policy, at, at[1:4])
	s.rnd = rand.New(rand.NewPCG(seed, 9))
	noise := rand.New(rand.NewPCG(seed, 5))
	var shift func()
	shift = func() {
		for _, p := range at {
			s.servers[p.VM].service = 10*time.Millisecond + time.Duration(noise.Float64()*float64(60*time.Millisecond))
		}
		if s.now < until {
			s.after(8*time.Millisecond, shift)
		}
	}
	shift()
	for _, e := range s.entries {
		// 36 slots of 40 ms at 70 % load, over three entries.
		s.load(e, 36/0.040*0.7/3, until)
	}
	s.run(until + time.Second)
	slices.Sort(s.took)
	return s.took[len(s.took)*999/1000]
}

// Neighbours come and go within milliseconds, and what a request took tells how
// it was, not how it is. A policy that follows each average sends requests away from
// servers that are fast again, and its slowest answers get slower.
func TestNoiseOfNeighboursIsNotFollowed(t *testing.T) {
	var plain, load time.Duration
	for seed := range uint64(4) {
		plain += slowest(fleet.PolicyTwoChoices, seed+1) / 4
		load += slowest(fleet.PolicyTwoLoad, seed+1) / 4
	}
	t.Logf("p99.9 of two-choices %v, of two-choices-load %v", plain, load)
	require.Less(t, float64(load), 1.08*float64(plain))
}
