// Package metrics collects a node's metrics for client_golang to expose. Label sets
// are bounded: services are those declared, kinds those of the closed list.
package metrics

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"

	"github.com/limpetdock/limpetdock/internal/kind"
	"github.com/limpetdock/limpetdock/internal/mesh/eligibility"
	"github.com/limpetdock/limpetdock/internal/version"
)

// Label values that can't be service names, since those contain no '_'.
const (
	// unknownService counts requests for undeclared services. Names sent by callers must
	// not become label values, or the label set would be unbounded.
	unknownService = "_unknown"
	// otherServices counts requests of services beyond maxServices.
	otherServices = "_other"
)

// maxServices bounds the label set of a process that runs for years while services
// are renamed.
const maxServices = 1024

// outcomeOK is the label of answers from a backend server.
const outcomeOK = "backend"

// Metrics holds a node's metrics. It is safe for concurrent use.
type Metrics struct {
	// Registry has all metrics. Node has only the unlabelled counters and gauges of the
	// node itself, few enough for monitors that read only the first kilobytes.
	Registry, Node *prometheus.Registry
	requests       *prometheus.CounterVec
	hops           *prometheus.CounterVec
	ineligible     *prometheus.CounterVec
	latency        *prometheus.HistogramVec
	forecast       *prometheus.HistogramVec
	transfer       *prometheus.HistogramVec
	now            func() time.Time
	// services is copied on write when a service is first counted, so that requests find
	// their counters without a lock.
	services atomic.Pointer[map[string]*service]
	mu       sync.Mutex
}

// New returns metrics in a new registry.
func New() *Metrics {
	m := &Metrics{
		Registry: prometheus.NewRegistry(), Node: prometheus.NewRegistry(),
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "limpetdock_requests_total", Help: "Requests answered to callers, by error kind or backend.",
		}, []string{"service", "kind"}),
		hops: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "limpetdock_hops_total", Help: "Targets given up for another one, by error kind.",
		}, []string{"service", "kind"}),
		ineligible: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "limpetdock_ineligible_total", Help: "Selections of a target in which some targets were left out, by reason.",
		}, []string{"reason"}),
		latency: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "limpetdock_request_duration_seconds", Help: "Time from a caller's request to the end of its answer.",
			Buckets: []float64{.001, .002, .005, .01, .02, .05, .1, .2, .5, 1, 5, 30},
		}, []string{"service"}),
		forecast: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "limpetdock_forecast_ratio", Help: "Time until a target answered, in times of what the entry expected.",
			Buckets: []float64{.25, .5, .7, .9, 1.1, 1.4, 2, 4, 8},
		}, []string{"service"}),
		transfer: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "limpetdock_store_transfer_seconds",
			Help:    "Time from the start to the end of an answer of the platform's store, or until it was given up.",
			Buckets: []float64{.001, .01, .05, .1, .2, .5, 1, 2, 5},
		}, []string{"outcome"}),
		now: time.Now,
	}
	m.services.Store(&map[string]*service{})
	m.Registry.MustRegister(m.requests, m.hops, m.ineligible, m.latency, m.forecast, m.transfer,
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}), collectors.NewGoCollector())
	build := version.Current()
	m.Registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "limpetdock_build_info", Help: "The build of the program; always 1.",
		ConstLabels: prometheus.Labels{"version": build.Version, "commit": build.Commit},
	}, func() float64 { return 1 }))
	return m
}

// Forecast records the ratio of an answer's time to the expected time.
func (m *Metrics) Forecast(name string, expected, took time.Duration) {
	if expected > 0 {
		m.service(name).forecast.Observe(took.Seconds() / expected.Seconds())
	}
}

// Outcomes of calls to the platform's store.
const (
	storeAnswered = "answered"
	storeFailed   = "failed"
)

// StoreAnswer records a call to the platform's store and the time its answer took to
// transfer.
func (m *Metrics) StoreAnswer(answered bool, transfer time.Duration) {
	outcome := storeAnswered
	if !answered {
		outcome = storeFailed
	}
	m.transfer.WithLabelValues(outcome).Observe(transfer.Seconds())
}

// Answered counts an answered request. An empty k is an answer from the backend
// server; an empty name is a service that isn't declared.
func (m *Metrics) Answered(name string, k kind.Kind, took time.Duration) {
	s := m.service(name)
	s.answered.inc(k)
	s.latency.Observe(took.Seconds())
	if k != "" {
		s.recent.add(k, m.now())
	}
}

// Hopped counts a switch from one target to another.
func (m *Metrics) Hopped(name string, k kind.Kind) {
	m.service(name).hopped.inc(k)
}

// Ineligible counts a selection of a target in which some were left out for a reason.
func (m *Metrics) Ineligible(reason eligibility.Reason) {
	m.ineligible.WithLabelValues(string(reason)).Inc()
}

// service returns the counters of a service.
func (m *Metrics) service(name string) *service {
	if name == "" {
		name = unknownService
	}
	if s := (*m.services.Load())[name]; s != nil {
		return s
	}
	return m.addService(name)
}

func (m *Metrics) addService(name string) *service {
	m.mu.Lock()
	defer m.mu.Unlock()
	old := *m.services.Load()
	if len(old) >= maxServices && old[name] == nil {
		name = otherServices
	}
	if s := old[name]; s != nil {
		return s
	}
	next := make(map[string]*service, len(old)+1)
	for n, s := range old {
		next[n] = s
	}
	s := newService(m, name)
	next[name] = s
	m.services.Store(&next)
	return s
}

// Gauge registers a gauge whose value is read at each scrape.
func (m *Metrics) Gauge(name, help string, read func() float64) {
	m.registerPlain(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, read))
}

// Counter registers a counter whose value is read at each scrape.
func (m *Metrics) Counter(name, help string, read func() float64) {
	m.registerPlain(prometheus.NewCounterFunc(prometheus.CounterOpts{Name: name, Help: help}, read))
}

func (m *Metrics) registerPlain(c prometheus.Collector) {
	m.Registry.MustRegister(c)
	m.Node.MustRegister(c)
}

// LabelledCounter registers a counter with constant labels whose value is read at
// each scrape.
func (m *Metrics) LabelledCounter(name, help string, labels map[string]string, read func() uint64) {
	m.Registry.MustRegister(prometheus.NewCounterFunc(
		prometheus.CounterOpts{Name: name, Help: help, ConstLabels: labels}, func() float64 { return float64(read()) }))
}
