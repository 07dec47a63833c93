// Package metrics counts what a node does, for client_golang to expose. Label
// sets are bounded: services as declared, kinds from the closed list.
package metrics

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"

	"github.com/limpetdock/limpetdock/internal/kind"
)

// Metrics holds a node's counters. Safe for concurrent use.
type Metrics struct {
	Registry *prometheus.Registry
	requests *prometheus.CounterVec
	hops     *prometheus.CounterVec
	latency  *prometheus.HistogramVec
}

// outcomeOK labels answers made by a backend server.
const outcomeOK = "backend"

// New returns counters in a registry of their own.
func New() *Metrics {
	m := &Metrics{
		Registry: prometheus.NewRegistry(),
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "limpetdock_requests_total", Help: "Requests answered to callers, by error kind or backend.",
		}, []string{"service", "kind"}),
		hops: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "limpetdock_hops_total", Help: "Targets given up for another one, by error kind.",
		}, []string{"service", "kind"}),
		latency: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "limpetdock_request_seconds", Help: "Time from a caller's request to the end of its answer.",
			Buckets: []float64{.001, .002, .005, .01, .02, .05, .1, .2, .5, 1, 5, 30},
		}, []string{"service"}),
	}
	m.Registry.MustRegister(m.requests, m.hops, m.latency,
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}), collectors.NewGoCollector())
	return m
}

// Answered counts a request that was answered.
func (m *Metrics) Answered(service string, k kind.Kind, took time.Duration) {
	label := string(k)
	if k == "" {
		label = outcomeOK
	}
	m.requests.WithLabelValues(service, label).Inc()
	m.latency.WithLabelValues(service).Observe(took.Seconds())
}

// Hopped counts a target that was given up for another one.
func (m *Metrics) Hopped(service string, k kind.Kind) {
	m.hops.WithLabelValues(service, string(k)).Inc()
}

// Gauge registers a value that is read whenever the metrics are.
func (m *Metrics) Gauge(name, help string, read func() float64) {
	m.Registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, read))
}

// Counter registers a counter that is read whenever the metrics are.
func (m *Metrics) Counter(name, help string, read func() float64) {
	m.Registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{Name: name, Help: help}, read))
}
