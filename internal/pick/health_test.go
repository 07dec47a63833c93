package pick

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetdock/limpetdock/fleet"
)

// A backend server fails a few requests and is healthy for hours after. A failure
// costs as much as many seconds of waiting. If the average never returned to zero,
// the target would never be chosen again, and if all targets of a region had failed
// once, a share of requests would cross regions forever.
func TestFailureCostReturnsToZero(t *testing.T) {
	s := newService(fleet.DefaultPolicy, Place{"x", "r0z0", "r0"}, places(1, 1, 2), simSlots, NewEntries(places(1, 1, 2)))
	once, never := s.Targets[0], s.Targets[1]
	rnd := rand.New(rand.NewPCG(1, 1))
	answer := func(target *Target, at time.Duration, o Outcome) {
		target.RecordOutcome(target.Begin(at, true), at+5*time.Millisecond, o, rnd)
		target.End()
	}
	answer(once, 0, Failed)
	for i := range 200 {
		answer(once, time.Duration(i)*time.Millisecond, Good)
		answer(never, time.Duration(i)*time.Millisecond, Good)
	}
	require.Equal(t, never.Cost(time.Second), once.Cost(time.Second))
}

// A backend server answers 500 to one request of each node. While its cost is above
// that of the others no node sends to it, so no success could lower the average, and
// without a decay it would stay idle forever.
func TestServerThatFailedOnceIsUsedAgain(t *testing.T) {
	for _, p := range policies {
		got := share(p, func(s *server) { s.failsNext = 3 }, 6*time.Second, 8*time.Second)
		t.Logf("%s: share of the server after 6 s to 8 s: %.4f", p, got)
		require.Greater(t, got, 0.1, p)
	}
}
