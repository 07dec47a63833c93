package metrics

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/limpetdock/limpetdock/internal/kind"
)

// kinds is the closed list in order, after the empty kind of an answer that a
// backend server made. A counter's place in its row is its kind's place here.
var kinds = func() []kind.Kind {
	list := kind.All()
	slices.Sort(list)
	return append([]kind.Kind{""}, list...)
}()

var placeOf = func() map[kind.Kind]int {
	places := make(map[kind.Kind]int, len(kinds))
	for i, k := range kinds {
		places[k] = i
	}
	return places
}()

// place gives a kind's place in a row. One that isn't in the closed list counts
// as unknown: it must not become a label.
func place(k kind.Kind) int {
	if i, ok := placeOf[k]; ok {
		return i
	}
	return placeOf[kind.OutcomeUnknown]
}

// service holds the resolved counters of one service, so that counting a
// request looks up no labels.
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

// row is the counters of one service by kind. A counter comes into being when
// it is first used: most kinds never happen in most services, and the scrape
// must stay small.
type row struct {
	vec      *prometheus.CounterVec
	service  string
	counters []atomic.Pointer[counter]
}

// counter is a counter of the scrape with its value at hand for the
// administration API.
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
	at := &r.counters[place(k)]
	c := at.Load()
	if c == nil {
		c = &counter{exposed: r.vec.WithLabelValues(r.service, label(kinds[place(k)]))}
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

// totals gives the counters in use, by label.
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
	// RecentWindow is how far back recent refusals are counted.
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
	b.counts[place(k)]++
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

// Usage is what a service's callers were answered.
type Usage struct {
	// Answers are counted since the node's start, by kind or "backend".
	Answers map[string]uint64 `json:"answers"`
	// Recent are the system's own answers of the last RecentWindow, by kind.
	Recent map[string]uint64 `json:"recent_refusals"`
}

// Usage gives the counts of every service that was asked for, by name. What
// was asked of no declared service stands under "_unknown".
func (m *Metrics) Usage() map[string]Usage {
	out := map[string]Usage{}
	now := m.now()
	for name, s := range *m.services.Load() {
		out[name] = Usage{Answers: s.answered.totals(), Recent: s.recent.totals(now)}
	}
	return out
}
