package node

import (
	"github.com/limpetdock/limpetdock/internal/mesh/guard"
	"github.com/limpetdock/limpetdock/internal/metrics"
)

// registerSlownessMetrics exposes the slowness that the guard measures.
func registerSlownessMetrics(m *metrics.Metrics, g *guard.Guard) {
	m.Gauge("limpetdock_backend_measured_slowness", "Factor by which requests take longer than the backend server's reports and the base service times of its service explain; 1 is none.", g.MeasuredSlowness)
}
