// Package budget bounds what the system spends on its own account: measuring
// load, and trying again.
package budget

import (
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"github.com/limpetdock/limpetdock/fleet"
)

// Measuring is the one place that allows a node to send bytes about load:
// headers on replies, probes, and answers to probes. Each of the declared
// numbers holds for any window of one second, not only on average: a bucket of
// burst b that fills at r a second lets b+r through in one second at most, so
// both together are set to what is declared. Safe for concurrent use.
type Measuring struct {
	mu sync.Mutex
	// now is read under the mutex. A time taken before would be old by the wait
	// for it, and a bucket would pay out for the same moment twice.
	now                    func() time.Duration
	budget                 fleet.Budget
	requests, bytes, cross *rate.Limiter
	spent                  Spent
}

// Spent counts what was allowed and what was not. Its fields are safe to read
// at any time.
type Spent struct {
	// Requests are probes sent; Bytes all bytes; CrossBytes those that left the region.
	Requests, Bytes, CrossBytes atomic.Uint64
	// Denied counts what was left out because it was over budget.
	Denied atomic.Uint64
}

// burstShare is the part of a limit, 1/burstShare, that may be spent at once.
const burstShare = 4

// NewMeasuring returns a budget that allows nothing until SetBudget is called.
// now gives the time since the node's start, of a monotonic clock.
func NewMeasuring(now func() time.Duration) *Measuring {
	return &Measuring{
		now: now, requests: rate.NewLimiter(0, 0), bytes: rate.NewLimiter(0, 0), cross: rate.NewLimiter(0, 0),
	}
}

// SetBudget puts limits in force. In a window in which limits changed, the
// greater ones hold.
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

// clock gives now in the form the buckets take. The mutex is held.
func (m *Measuring) clock() time.Time { return time.Unix(0, 0).Add(m.now()) }

// Allow spends bytes if every limit has room for them, and says so. cross says
// that they leave the region.
func (m *Measuring) Allow(bytes int, cross bool) bool {
	return m.allow(0, bytes, cross)
}

// AllowRequest spends one measuring request of a number of bytes if every limit
// has room for it, and says so.
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

// Spent gives the counters.
func (m *Measuring) Spent() *Spent { return &m.spent }
