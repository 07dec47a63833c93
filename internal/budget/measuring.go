// Package budget bounds the traffic that the system adds by itself: load
// measurements, retries and hedged copies.
package budget

import (
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"github.com/limpetdock/limpetdock/fleet"
)

// Measuring is the budget for all bytes that a node sends about load: headers on
// replies, probes, and answers to probes. Each declared limit holds for any window
// of one second, not only on average: a token bucket of burst b that fills at r a
// second lets at most b+r through in one second, so b+r is set to the declared
// limit. Safe for concurrent use.
type Measuring struct {
	mu sync.Mutex
	// now is read under the mutex. A time read before locking would be stale after
	// the wait for the mutex, and a bucket would be refilled twice for the same time.
	now                    func() time.Duration
	budget                 fleet.Budget
	requests, bytes, cross *rate.Limiter
	spent                  Spent
}

// Spent counts allowed and denied measurements. Its fields are safe to read
// at any time.
type Spent struct {
	// Requests counts probes sent, Bytes all bytes, and CrossBytes those that left
	// the region.
	Requests, Bytes, CrossBytes atomic.Uint64
	// Denied counts messages not sent because they were over budget.
	Denied atomic.Uint64
}

// burstShare is the inverse of the share of a limit that may be spent at once.
const burstShare = 4

// NewMeasuring returns a budget that allows nothing until SetBudget is called.
// now returns the monotonic time since the node's start.
func NewMeasuring(now func() time.Duration) *Measuring {
	return &Measuring{
		now: now, requests: rate.NewLimiter(0, 0), bytes: rate.NewLimiter(0, 0), cross: rate.NewLimiter(0, 0),
	}
}

// SetBudget applies new limits. In a window in which limits changed, the greater
// ones hold.
func (m *Measuring) SetBudget(b fleet.Budget) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if b == m.budget {
		return
	}
	m.budget = b
	at := m.clock()
	set(m.requests, at, b.Requests)
	set(m.bytes, at, b.Bytes)
	set(m.cross, at, b.CrossRegionBytes)
}

func set(l *rate.Limiter, at time.Time, limit int) {
	burst := max(limit/burstShare, min(limit, 1))
	l.SetLimitAt(at, rate.Limit(limit-burst))
	l.SetBurstAt(at, burst)
}

// clock returns now in the form that the buckets need. The caller holds the mutex.
func (m *Measuring) clock() time.Time { return time.Unix(0, 0).Add(m.now()) }

// Allow spends bytes if every limit allows them, and reports whether it did. cross
// is true if they leave the region.
func (m *Measuring) Allow(bytes int, cross bool) bool {
	return m.allow(0, bytes, cross)
}

// AllowRequest spends one measuring request of a number of bytes if every limit
// allows it, and reports whether it did.
func (m *Measuring) AllowRequest(bytes int, cross bool) bool {
	return m.allow(1, bytes, cross)
}

func (m *Measuring) allow(requests, bytes int, cross bool) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	at := m.clock()
	room := m.requests.TokensAt(at) >= float64(requests) && m.bytes.TokensAt(at) >= float64(bytes)
	if cross {
		room = room && m.cross.TokensAt(at) >= float64(bytes)
	}
	if !room {
		m.spent.Denied.Add(1)
		return false
	}
	m.requests.AllowN(at, requests)
	m.bytes.AllowN(at, bytes)
	m.spent.Requests.Add(uint64(requests))
	m.spent.Bytes.Add(uint64(bytes))
	if cross {
		m.cross.AllowN(at, bytes)
		m.spent.CrossBytes.Add(uint64(bytes))
	}
	return true
}

// Spent returns the counters.
func (m *Measuring) Spent() *Spent { return &m.spent }
