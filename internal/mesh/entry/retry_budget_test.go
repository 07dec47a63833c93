package entry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetdock/limpetdock/internal/mesh"
)

// Guards against retries whose calls exceed the budget of a service that only backend servers call, and against
// denied retries that use up a budget.
func TestRetryIsChargedToTheServicesThatItCalls(t *testing.T) {
	b := newRetryBudgets(Repeats{Ratio: 1, Window: 10 * time.Second}, func() time.Duration { return 0 })
	calls := mesh.Calls{"stock": 0.5, "prices": minCalls / 2}
	require.Equal(t, "orders", b.take("orders", calls), "nothing was requested")
	for range 10 {
		b.request("orders")
	}
	require.Equal(t, "stock", b.take("orders", calls))
	b.request("stock")
	require.Empty(t, b.take("orders", calls), "prices gets too few calls to count")
	require.Equal(t, "stock", b.take("orders", calls), "two halves exceed a ratio of 0.7")
	for range 6 {
		require.Empty(t, b.take("orders", nil), "denied retries took nothing")
	}
	require.Equal(t, "orders", b.take("orders", nil))
	require.EqualValues(t, 7, b.counts.Granted)
	require.EqualValues(t, 4, b.counts.Denied)
	require.EqualValues(t, 2, b.counts.DeniedByCalls)
}

// Guards against services that call themselves and count only one of the two requests.
func TestRetryOfServiceThatCallsItselfCountsItsCalls(t *testing.T) {
	b := newRetryBudgets(Repeats{Ratio: 1, Window: 10 * time.Second}, func() time.Duration { return 0 })
	for range 3 {
		b.request("orders")
	}
	require.Empty(t, b.take("orders", mesh.Calls{"orders": 1}))
	require.Equal(t, "orders", b.take("orders", mesh.Calls{"orders": 1}))
}

// Guards against an average of calls that the first runs alone determine.
func TestExpectedCallsFollowRecentRuns(t *testing.T) {
	s := &routeStats{}
	require.Empty(t, s.expectedCalls())
	s.addRun(mesh.Calls{"stock": 1})
	require.Equal(t, mesh.Calls{"stock": 1}, s.expectedCalls())
	for range 10 * maxAverageSamples {
		s.addRun(mesh.Calls{"prices": 2})
	}
	require.InDelta(t, 0, s.expectedCalls()["stock"], 0.01)
	require.InDelta(t, 2, s.expectedCalls()["prices"], 0.01)
}
