package pick

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetdock/limpetdock/fleet"
)

// A backend server fails a few requests and is well for hours after. Each failure
// costs what many seconds of waiting do, so if the average never came down to
// none, the target would be passed over for good, and where all of a region
// failed once, a share of requests would cross regions for ever.
func TestFailuresAreForgotten(t *testing.T) {
	s := newService(fleet.DefaultPolicy, Place{"x", "r0z0", "r0"}, places(1, 1, 2), simSlots, NewEntries(places(1, 1, 2)))
	once, never := s.Targets[0], s.Targets[1]
	rnd := rand.New(rand.NewPCG(1, 1))
	answer := func(target *Target, at time.Duration, o Outcome) {
		target.Headers(target.Begin(at, true), at+5*time.Millisecond, o, rnd)
		target.End()
	}
	answer(once, 0, Failed)
	for i := range 200 {
		answer(once, time.Duration(i)*time.Millisecond, Good)
		answer(never, time.Duration(i)*time.Millisecond, Good)
	}
	require.Equal(t, never.Cost(time.Second), once.Cost(time.Second))
}

// A backend server answers 500 to one request of each node. Nobody sends to it while it looks worse than
// the others, so no success can clear it, and it stands idle for good.
func TestAServerThatFailedOnceIsUsedAgain(t *testing.T) {
	for _, p := range policies {
		got := share(p, func(s *server) { s.failsNext = 3 }, 6*time.Second, 8*time.Second)
		t.Logf("%s: share of the server after a while: %.4f", p, got)
		require.Greater(t, got, 0.1, p)
	}
}
