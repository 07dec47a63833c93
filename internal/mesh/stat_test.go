package mesh_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetdock/limpetdock/internal/mesh"
)

// Neighbours slow a target down for a fraction of a second, and its guard reports how long
// that is expected to last. The slowdown must count until then and not afterwards.
func TestTransientSlowdownCountsUntilItsEnd(t *testing.T) {
	const baseServiceTime = 90 * time.Millisecond
	var s mesh.Stat
	s.Report(mesh.Load{Slots: 6, Slowdown: 4, RecoversIn: 150 * time.Millisecond}, time.Second)
	require.Equal(t, 150*time.Millisecond, s.Estimate(time.Second).SlowdownDelay(baseServiceTime), "waiting for the recovery is shorter than running slowly")
	require.Equal(t, 50*time.Millisecond, s.Estimate(1100*time.Millisecond).SlowdownDelay(baseServiceTime))
	require.Equal(t, 30*time.Millisecond, s.Estimate(1100*time.Millisecond).SlowdownDelay(10*time.Millisecond), "a short request starts at once")
	require.Zero(t, s.Estimate(1200*time.Millisecond).SlowdownDelay(baseServiceTime))
}

// A sustained slowdown must only decay in the absence of new reports.
func TestSustainedSlowdownDecaysWithoutReports(t *testing.T) {
	var s mesh.Stat
	s.Report(mesh.Load{Slots: 6, Slowdown: 4}, time.Second)
	require.InDelta(t, 4, s.Estimate(time.Second).Slowdown, 0.01)
	require.Less(t, s.Estimate(3*time.Second).Slowdown, 2.0)
	require.InDelta(t, 1, s.Estimate(20*time.Second).Slowdown, 0.01)
}

// Between two reports a node sends several requests to a target that looked idle. If it didn't
// count them itself, all of its requests would go there.
func TestOwnRequestsCountUntilTheNextReport(t *testing.T) {
	var s mesh.Stat
	s.Report(mesh.Load{Running: 1, Slots: 6}, 0)
	s.Begin()
	s.Begin()
	require.Equal(t, 3, s.Estimate(0).Busy)
	s.Report(mesh.Load{Running: 3, Slots: 6}, 1)
	require.Equal(t, 3, s.Estimate(1).Busy)
	s.End(2, false, true)
	s.End(2, false, true)
	require.Zero(t, s.InFlight())
}

// A target fails all of its requests while its health check succeeds. It must become the last
// choice after a few failures, and be tried again once these are old.
func TestFailureRateRisesAndDecays(t *testing.T) {
	var s mesh.Stat
	for range 4 {
		s.Begin()
		s.End(time.Second, true, true)
	}
	require.Greater(t, s.Estimate(time.Second).FailureRate, 0.6)
	require.Less(t, s.Estimate(20*time.Second).FailureRate, 0.01)
	s.Begin()
	s.End(time.Second, true, false)
	require.Zero(t, s.InFlight(), "a request with an inconclusive outcome must be counted as ended, too")
}

// Guards against call shares of lost reports, and of reports about another service.
func TestCallSuccessIsThatOfARecentReport(t *testing.T) {
	s := &mesh.Stat{}
	_, _, known := s.CallSuccess("stock", 0)
	require.False(t, known)
	s.Report(mesh.Load{CallsTo: "stock", CallSuccess: 0.4}, time.Second)
	share, age, known := s.CallSuccess("stock", 2*time.Second)
	require.True(t, known)
	require.InDelta(t, 0.4, share, 1e-9)
	require.Equal(t, time.Second, age)
	share, _, _ = s.CallSuccess("prices", 2*time.Second)
	require.InDelta(t, 1, share, 1e-9)
	_, _, known = s.CallSuccess("stock", 3*time.Second)
	require.False(t, known)
}

// Guards against forecasts that ignore the links, count a backlog that small answers overtake, or count
// links that aren't scheduled.
func TestLinkDelayCountsBacklogAndSlowerLink(t *testing.T) {
	s := &mesh.Stat{}
	s.Report(mesh.Load{LinkRate: 1e6, LinkBacklog: 300 * time.Millisecond}, 0)
	e := s.Estimate(100 * time.Millisecond)
	require.Equal(t, 200*time.Millisecond+90*time.Millisecond, e.LinkDelayOf(90_000, 2e6))
	require.Equal(t, 200*time.Millisecond+180*time.Millisecond, e.LinkDelayOf(90_000, 0.5e6))
	require.Equal(t, time.Millisecond, e.LinkDelayOf(1000, 2e6))
	require.Zero(t, e.LinkDelayOf(90_000, 0))
	require.Zero(t, s.Estimate(time.Minute).LinkBacklog)
	s.Report(mesh.Load{LinkBacklog: time.Second}, 0)
	require.Zero(t, s.Estimate(0).LinkDelayOf(90_000, 2e6))
}
