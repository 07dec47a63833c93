package metrics

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/limpetdock/limpetdock/internal/kind"
)

// kinds is the sorted closed list, preceded by the empty kind of answers from a
// backend server. The index of a kind here is the index of its counter in a row.
var kinds = func() []kind.Kind {
	list := kind.All()
	slices.Sort(list)
	return append([]kind.Kind{""}, list...)
}()

var kindIndex = func() map[kind.Kind]int {
	indexes := make(map[kind.Kind]int, len(kinds))
	for i, k := range kinds {
		indexes[k] = i
	}
	return indexes
}()

// indexOf returns the index of a kind in a row. A kind that isn't in the closed list
// counts as OutcomeUnknown, since it must not become a label value.
func indexOf(k kind.Kind) int {
	if i, ok := kindIndex[k]; ok {
		return i
	}
	return kindIndex[kind.OutcomeUnknown]
}

// service holds the resolved counters of one service, so that counting a request
// needs no label lookup.
type service struct {
	answered, hopped  row
	latency, forecast prometheus.Observer
	recent            recent
}

func newService(m *Metrics, name string) *service {
	return &service{
		answered: newRow(m.requests, name), hopped: newRow(m.hops, name),
		latency: m.latency.WithLabelValues(name), forecast: m.forecast.WithLabelValues(name),
		recent: newRecent(),
	}
}

// row holds the counters of one service by kind. A counter is created on first use:
// most kinds never occur in most services, and the scrape must stay small.
type row struct {
	vec      *prometheus.CounterVec
	service  string
	counters []atomic.Pointer[counter]
}

// counter is an exposed counter together with its value, which the administration
// API reads.
type counter struct {
	exposed prometheus.Counter
	n       atomic.Uint64
}

func (c *counter) inc() {
	c.exposed.Inc()
	c.n.Add(1)
}

func newRow(vec *prometheus.CounterVec, service string) row {
	return row{vec: vec, service: service, counters: make([]atomic.Pointer[counter], len(kinds))}
}

func (r *row) inc(k kind.Kind) {
	at := &r.counters[indexOf(k)]
	c := at.Load()
	if c == nil {
		c = &counter{exposed: r.vec.WithLabelValues(r.service, label(kinds[indexOf(k)]))}
		if !at.CompareAndSwap(nil, c) {
			c = at.Load()
		}
	}
	c.inc()
}

func label(k kind.Kind) string {
	if k == "" {
		return outcomeOK
	}
	return string(k)
}

// totals returns the counters in use, by label.
func (r *row) totals() map[string]uint64 {
	out := map[string]uint64{}
	for i := range r.counters {
		c := r.counters[i].Load()
		if c == nil {
			continue
		}
		out[label(kinds[i])] = c.n.Load()
	}
	return out
}

const (
	bucketLength = 10 * time.Second
	buckets      = 6
	// RecentWindow is the period over which recent refusals are counted.
	RecentWindow = buckets * bucketLength
)

// recent counts refusals by kind over the last RecentWindow.
type recent struct {
	mu   sync.Mutex
	ring []bucket
}

type bucket struct {
	period int64
	counts []uint64
}

func newRecent() recent {
	ring := make([]bucket, buckets)
	for i := range ring {
		ring[i].counts = make([]uint64, len(kinds))
	}
	return recent{ring: ring}
}

func (r *recent) add(k kind.Kind, now time.Time) {
	period := now.UnixNano() / int64(bucketLength)
	r.mu.Lock()
	defer r.mu.Unlock()
	b := &r.ring[period%buckets]
	if b.period != period {
		b.period = period
		clear(b.counts)
	}
	b.counts[indexOf(k)]++
}

func (r *recent) totals(now time.Time) map[string]uint64 {
	period := now.UnixNano() / int64(bucketLength)
	out := map[string]uint64{}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, b := range r.ring {
		if b.period <= period-buckets || b.period > period {
			continue
		}
		for i, n := range b.counts {
			if n > 0 {
				out[label(kinds[i])] += n
			}
		}
	}
	return out
}

// Usage counts the answers to the callers of a service.
type Usage struct {
	// Answers counts all answers since the node started, by kind or "backend".
	Answers map[string]uint64 `json:"answers"`
	// Recent counts the answers of the last RecentWindow that the system itself made, by
	// kind.
	Recent map[string]uint64 `json:"recent_refusals"`
}

// Usage returns the counts of every service with requests, by name. Requests for
// undeclared services are counted under "_unknown".
func (m *Metrics) Usage() map[string]Usage {
	out := map[string]Usage{}
	now := m.now()
	for name, s := range *m.services.Load() {
		out[name] = Usage{Answers: s.answered.totals(), Recent: s.recent.totals(now)}
	}
	return out
}
