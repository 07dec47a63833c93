package node

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/limpetdock/limpetdock/internal/budget"
	"github.com/limpetdock/limpetdock/internal/entry"
	"github.com/limpetdock/limpetdock/internal/guard"
	"github.com/limpetdock/limpetdock/internal/metrics"
)

// registerMeasuring registers the metrics for the traffic caused by measuring,
// retries and hedging.
func registerMeasuring(m *metrics.Metrics, b *budget.Measuring, e *entry.Entry, g *guard.Guard) {
	spent := b.Spent()
	m.Counter("limpetdock_measuring_requests_total", "Probes sent.",
		func() float64 { return float64(spent.Requests.Load()) })
	m.Counter("limpetdock_measuring_bytes_total", "Bytes about load sent, as on the wire.",
		func() float64 { return float64(spent.Bytes.Load()) })
	m.Counter("limpetdock_measuring_cross_region_bytes_total", "The part of these bytes that left the region.",
		func() float64 { return float64(spent.CrossBytes.Load()) })
	m.Counter("limpetdock_measuring_denied_total", "Probes and reports left out because they were over budget.",
		func() float64 { return float64(spent.Denied.Load()) })
	m.Gauge("limpetdock_backend_slots_limit", "Slots that the guard gives out at present, of those declared.",
		func() float64 { return float64(g.Load().Limit) })
	m.Gauge("limpetdock_backend_waiting", "Requests that wait for the backend server.",
		func() float64 { return float64(g.Load().Waiting) })
	m.Counter("limpetdock_guard_refused_total", "Requests that the guard refused because of its queue.",
		func() float64 { return float64(g.Load().Refused) })
	m.Registry.MustRegister(retries{e})
}

var (
	retriesDesc = prometheus.NewDesc("limpetdock_retries_total",
		"Retries, and hops after refusals, that the retry budget granted.", []string{"service"}, nil)
	retriesDeniedDesc = prometheus.NewDesc("limpetdock_retries_denied_total",
		"Retries and hops that the retry budget denied.", []string{"service"}, nil)
)

var (
	hedgesDesc = prometheus.NewDesc("limpetdock_hedges_total",
		"Second copies sent of idempotent requests that took long.", []string{"service"}, nil)
	hedgesWonDesc = prometheus.NewDesc("limpetdock_hedges_won_total",
		"Second copies that were answered first.", []string{"service"}, nil)
	hedgesDeniedDesc = prometheus.NewDesc("limpetdock_hedges_denied_total",
		"Second copies not sent because of the budget, or because targets refuse.", []string{"service"}, nil)
)

// retries is a collector for the use of the retry and hedge budgets.
type retries struct{ entry *entry.Entry }

// Describe implements prometheus.Collector.
func (retries) Describe(out chan<- *prometheus.Desc) {
	out <- retriesDesc
	out <- retriesDeniedDesc
	out <- hedgesDesc
	out <- hedgesWonDesc
	out <- hedgesDeniedDesc
}

// Collect implements prometheus.Collector.
func (r retries) Collect(out chan<- prometheus.Metric) {
	for _, u := range r.entry.RetryUses() {
		count := func(desc *prometheus.Desc, n uint64) {
			out <- prometheus.MustNewConstMetric(desc, prometheus.CounterValue, float64(n), u.Service)
		}
		count(retriesDesc, u.Granted)
		count(retriesDeniedDesc, u.Denied)
		if u.Hedges == (budget.HedgeCounts{}) {
			// Most services of most nodes send no hedges, and the scrape must stay small.
			continue
		}
		count(hedgesDesc, u.Hedges.Sent)
		count(hedgesWonDesc, u.Hedges.Won)
		count(hedgesDeniedDesc, u.Hedges.Denied)
	}
}
