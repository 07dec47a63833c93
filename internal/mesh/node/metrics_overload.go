package node

import (
	"strconv"

	"github.com/limpetdock/limpetdock/internal/gate"
	"github.com/limpetdock/limpetdock/internal/mesh/guard"
	"github.com/limpetdock/limpetdock/internal/metrics"
)

// labelledPriorities is the number of priorities with a label of their own in the metrics; lower ones are
// counted with the last of them. Configurations use few priorities, and each is two time series.
const labelledPriorities = 4

// registerSchedulingMetrics exposes the counters of goodput scheduling.
func registerSchedulingMetrics(m *metrics.Metrics, g *guard.Guard) {
	for _, nested := range []bool{true, false} {
		for priority := range labelledPriorities {
			m.LabelledCounter("limpetdock_backend_starts_total", "Requests that got a slot under goodput scheduling, by rank; the last priority includes all lower ones.",
				map[string]string{"nested": strconv.FormatBool(nested), "priority": strconv.Itoa(priority)},
				func() uint64 { return startsOf(g.Schedule(), nested, priority) })
		}
	}
	for _, reason := range gate.Reasons() {
		m.LabelledCounter("limpetdock_backend_refused_total", "Requests that got no slot, by reason.",
			map[string]string{"reason": reason.String()}, func() uint64 { return g.Schedule().Refusals[reason] })
	}
	m.Counter("limpetdock_backend_late_starts_total", "Requests that got a slot under goodput scheduling too late for their latency objective.",
		func() float64 { return float64(g.Schedule().LateStarts) })
}

// startsOf returns the starts of a rank as the metrics label it.
func startsOf(s gate.Schedule, nested bool, priority int) (n uint64) {
	for _, r := range s.Ranks {
		if r.Nested == nested && min(r.Priority, labelledPriorities-1) == priority {
			n += r.Starts
		}
	}
	return n
}
