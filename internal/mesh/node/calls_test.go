package node

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetdock/limpetdock/internal/mesh"
	"github.com/limpetdock/limpetdock/internal/mesh/calladmission"
	"github.com/limpetdock/limpetdock/internal/mesh/entry"
	"github.com/limpetdock/limpetdock/internal/mesh/guard"
	"github.com/limpetdock/limpetdock/internal/mesh/peer"
	"github.com/limpetdock/limpetdock/internal/mesh/quarantine"
	"github.com/limpetdock/limpetdock/internal/metrics"
)

// Guards against load reports, metrics and a state from which entries and operators don't learn that nested calls fail.
func TestFailingCallsAreReported(t *testing.T) {
	now := func() time.Duration { return time.Minute }
	calls := calladmission.NewRecorder()
	r := newReportingGuard(guard.New(guard.Config{Now: now, LoadChanged: func(bool) {}}), calls, peer.NewUplink(0, 0))
	require.Equal(t, mesh.Load{}, mesh.Load{CallsTo: r.Load().CallsTo, CallSuccess: r.Load().CallSuccess})
	calls.Record("stock", calladmission.Failed, now())
	load := r.Load()
	require.Equal(t, "stock", load.CallsTo)
	require.Less(t, load.CallSuccess, 0.5)

	m := metrics.New()
	e := entry.New(entry.Config{Now: now, Calls: calls})
	registerCallMetrics(m, e)
	a := &admin{entry: e, guard: r, uplink: r.uplink, suspects: quarantine.New(now), now: now}
	require.NotNil(t, a.state().CallAdmissions)
	families, err := m.Registry.Gather()
	require.NoError(t, err)
	total := 0.0
	for _, f := range families {
		if f.GetName() == "limpetdock_nested_calls_total" {
			for _, metric := range f.GetMetric() {
				total += metric.GetCounter().GetValue()
			}
		}
	}
	require.InDelta(t, 1, total, 1e-9)
}
