package node

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/limpetdock/limpetdock/internal/mesh/entry"
	"github.com/limpetdock/limpetdock/internal/metrics"
)

// callMetrics exposes call admission. Its labels are services that requests have called, which the
// configuration declares.
type callMetrics struct{ entry *entry.Entry }

var (
	admissionLabels  = []string{"service", "called"}
	callsAdmitted    = prometheus.NewDesc("limpetdock_calls_admitted_total", "Requests admitted whose runs call another service.", admissionLabels, nil)
	callsRefused     = prometheus.NewDesc("limpetdock_calls_refused_total", "Requests refused as the service that their runs call has no room.", admissionLabels, nil)
	callsShare       = prometheus.NewDesc("limpetdock_calls_admitted_share", "Share of the requests that is admitted over all priorities; 1 is all.", admissionLabels, nil)
	nestedCallsTotal = prometheus.NewDesc("limpetdock_nested_calls_total", "Calls that the backend server made while it ran requests, by outcome.", []string{"called", "outcome"}, nil)
)

func registerCallMetrics(m *metrics.Metrics, e *entry.Entry) { m.Registry.MustRegister(callMetrics{e}) }

// Describe implements prometheus.Collector.
func (callMetrics) Describe(out chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{callsAdmitted, callsRefused, callsShare, nestedCallsTotal} {
		out <- d
	}
}

// Collect implements prometheus.Collector.
func (c callMetrics) Collect(out chan<- prometheus.Metric) {
	for _, s := range c.entry.CallAdmissions() {
		out <- prometheus.MustNewConstMetric(callsAdmitted, prometheus.CounterValue, float64(s.Admitted), s.Service, s.Called)
		out <- prometheus.MustNewConstMetric(callsRefused, prometheus.CounterValue, float64(s.Refused), s.Service, s.Called)
		out <- prometheus.MustNewConstMetric(callsShare, prometheus.GaugeValue, s.Share, s.Service, s.Called)
	}
	for _, n := range c.entry.Calls.Counts() {
		out <- prometheus.MustNewConstMetric(nestedCallsTotal, prometheus.CounterValue, float64(n.Calls), n.Service, n.Outcome.String())
	}
}
