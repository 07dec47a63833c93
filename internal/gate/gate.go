// Package gate admits requests to one backend server. It limits the number of
// concurrent requests and of waiting ones, and refuses a request whose expected wait
// exceeds its deadline or queue timeout.
package gate

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/limpetdock/limpetdock/internal/contention"
	"github.com/limpetdock/limpetdock/internal/kind"
)

// maxQueueWithoutRefusal is the length of the queue if NoRefusal is set.
const maxQueueWithoutRefusal = 10_000

// Limits are the declared limits of a backend server and its queue.
type Limits struct {
	// Slots is how many requests run at once, Queue how many wait.
	Slots, Queue int
	// Order is OrderInTime, OrderGoodput or the name of an order in package fleet.
	Order string
	// Adaptive reduces the number of concurrent requests while the backend server is slow.
	Adaptive bool
	// LearnedLimit limits the number of concurrent requests to the one with the most
	// throughput according to the samples of Slot.RecordSample.
	LearnedLimit bool
	// NoRefusal lets requests wait that would otherwise be refused.
	NoRefusal bool
}

// Gate is the admission of one backend server. Safe for concurrent use.
type Gate struct {
	mu      sync.Mutex
	limits  Limits
	order   order
	running int
	// queue is sorted by depth, the deepest first, and then by arrival.
	queue []*waiter
	spare []*waiter
	// nonEmptySince is since when the queue hasn't been empty. It is valid only while
	// requests wait.
	nonEmptySince time.Time
	adaptive      adaptiveLimit
	// curve holds the samples for Limits.LearnedLimit. trials is the number of running
	// requests that were admitted beyond the limit to measure a higher one.
	curve   *contention.Curve
	trials  int
	drain   drainRate
	start   slowStart
	pacer   Pacer
	refused uint64
	// refusals are by reason.
	refusals [reasonCount]uint64
	// scheduler is used only with OrderGoodput.
	scheduler scheduler
	// wakeScheduled is true while a dispatch is scheduled.
	wakeScheduled bool
}

// New returns a Gate that admits no requests until SetLimits is called. It begins with a
// slow start, as it can't know how many requests the backend server already runs.
func New() *Gate {
	return &Gate{order: fifo{}, pacer: unpaced{}, curve: contention.New(0), start: slowStart{active: true, began: time.Now()}}
}

// SetLimits applies new limits. Requests that already wait continue to wait.
func (g *Gate) SetLimits(l Limits) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if l == g.limits {
		return
	}
	if l.Slots != g.limits.Slots || l.Adaptive != g.limits.Adaptive {
		g.adaptive.reset(l.Slots)
	}
	if l.Slots != g.limits.Slots {
		g.curve = contention.New(l.Slots)
	}
	g.limits, g.order = l, orderOf(l.Order)
	g.scheduler.inForce = l.Order == OrderGoodput
	g.dispatch(time.Now())
}

// Slot is the permission to run one request. It must be released exactly once.
type Slot struct {
	gate  *Gate
	since time.Time
	// concurrency is how many requests ran at the start, including its own.
	concurrency int
	trial       bool
	// counted is true if the slot is counted in scheduler.running at level.
	counted bool
	level   uint8
}

// Concurrency returns how many requests ran when the slot was acquired, including its own.
func (s Slot) Concurrency() int { return s.concurrency }

// ContentionFactor returns the factor by which the requests that ran when the slot was
// acquired are expected to lengthen the slot's own request.
func (s Slot) ContentionFactor() float64 {
	s.gate.mu.Lock()
	defer s.gate.mu.Unlock()
	return s.gate.curve.ContentionFactor(s.concurrency)
}

// Acquire waits for a slot for a request. It refuses the request at once if the queue is
// full of requests of the same rank or higher, or if the expected wait exceeds the
// deadline of ctx.
func (g *Gate) Acquire(ctx context.Context, rank Rank) (Slot, *kind.Error) {
	return g.AcquireWithin(ctx, rank, WaitLimits{})
}

// WaitLimits bounds the wait of a request, as set by its sender.
type WaitLimits struct {
	// QueueTimeout is how long the request may wait. After a longer wait another gate
	// would have admitted it sooner. With 0 the gate sets the timeout.
	QueueTimeout time.Duration
	// StartByObjective is the latest start at which the request can meet its latency
	// objective, and StartByDeadline the latest at which it can be served at all. Zero
	// means no limit.
	StartByObjective, StartByDeadline time.Time
	// TimeInSlot is how long the request is expected to hold its slot; 0 means unknown. Only
	// OrderGoodput uses it.
	TimeInSlot time.Duration
}

// AcquireWithin is like Acquire, for a request whose sender limits its wait.
func (g *Gate) AcquireWithin(ctx context.Context, rank Rank, limits WaitLimits) (Slot, *kind.Error) {
	slot, w, refusal := g.admitOrEnqueue(ctx, rank, limits)
	if w == nil {
		return slot, refusal
	}
	return g.wait(ctx, w)
}

// admitOrEnqueue returns a slot, a place in the queue or a refusal.
func (g *Gate) admitOrEnqueue(ctx context.Context, rank Rank, limits WaitLimits) (Slot, *waiter, *kind.Error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	if g.scheduler.inForce {
		return g.admitByGoodput(ctx, rank, limits, now)
	}
	if len(g.queue) == 0 {
		if slot, admitted := g.admit(now); admitted {
			return slot, nil, nil
		}
	}
	w, refusal := g.enqueue(ctx, rank, limits, now)
	return Slot{}, w, refusal
}

// admit returns a slot if one more request may start now. The mutex is held.
func (g *Gate) admit(now time.Time) (Slot, bool) {
	trial := g.running >= g.limit(now)
	if trial {
		if !g.mayStartTrial(now) {
			return Slot{}, false
		}
	}
	if !g.pacer.Permit() {
		return Slot{}, false
	}
	if trial {
		g.trials++
	}
	g.running++
	return Slot{gate: g, since: now, concurrency: g.running, trial: trial}, true
}

// mayStartTrial reports whether a request may start beyond the limit to measure how long
// it takes there. The mutex is held.
func (g *Gate) mayStartTrial(now time.Time) bool {
	highest := g.curve.TrialLimit()
	return g.limits.LearnedLimit && g.trials < highest-g.curve.Limit() &&
		g.running < g.start.bound(now, highest, g.limits.Slots)
}

// RecordSample records how long the request in the slot took at the backend server, for
// Limits.LearnedLimit. It sets the sample's level to the slot's concurrency.
func (s Slot) RecordSample(sample contention.Sample) {
	sample.Level = s.concurrency
	s.gate.mu.Lock()
	defer s.gate.mu.Unlock()
	s.gate.curve.Learn(sample)
}

// BaseServiceTime returns how long a request of a class takes without contention,
// according to the samples of Slot.RecordSample; 0 means unknown.
func (g *Gate) BaseServiceTime(class string) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.curve.BaseServiceTime(class)
}

// Release releases the slot.
func (s Slot) Release() {
	g := s.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	took := now.Sub(s.since)
	g.drain.completed(now, took, len(g.queue) > 0 || g.running >= g.limit(now))
	g.adaptive.record(now, took, g.running)
	g.release(s)
	g.dispatch(now)
}

// release updates the counts for a slot that is no longer used. The mutex is held.
func (g *Gate) release(s Slot) {
	g.running--
	if s.trial {
		g.trials--
	}
	if s.counted {
		g.scheduler.running[s.level]--
	}
}

// limit returns how many requests may run now. The mutex is held.
func (g *Gate) limit(now time.Time) int {
	limit := g.limits.Slots
	switch {
	case g.limits.LearnedLimit:
		limit = g.curve.Limit()
	case g.limits.Adaptive:
		limit = g.adaptive.current()
	}
	return g.start.bound(now, limit, g.limits.Slots)
}

// dispatch admits waiting requests while slots are free. The mutex is held.
func (g *Gate) dispatch(now time.Time) {
	if g.scheduler.inForce {
		g.dispatchByGoodput(now)
	} else {
		g.dispatchDeepestFirst(now)
	}
	if g.running == 0 && len(g.queue) == 0 {
		g.drain.idle()
	}
	g.scheduleDispatch()
}

// dispatchDeepestFirst admits waiting requests while slots are free, the deepest calls first. The mutex
// is held.
func (g *Gate) dispatchDeepestFirst(now time.Time) {
	for len(g.queue) > 0 {
		slot, admitted := g.admit(now)
		if !admitted {
			break
		}
		g.remove(g.next(now)).result <- waitResult{admitted: true, slot: slot}
	}
}

// SetBackendRunning records the number of running requests that the backend server
// reports. It is used only during the slow start; afterwards the gate's own count is more
// accurate.
func (g *Gate) SetBackendRunning(n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.start.update(n, g.running)
	g.dispatch(time.Now())
}

// Load is how busy the backend server is.
type Load struct {
	// Slots is the declared number; Limit is how many of them are used at present.
	Slots   int `json:"slots"`
	Limit   int `json:"limit"`
	InUse   int `json:"in_use"`
	Waiting int `json:"waiting"`
	// WaitingInTime is how many waiting requests can still meet their latency objective.
	WaitingInTime int `json:"due"`
	// ServiceTime is the average time that a slot is held.
	ServiceTime time.Duration `json:"service_ns"`
	// Refused is the number of refusals since the start.
	Refused uint64 `json:"refused"`
}

// Load returns the gate's present load.
func (g *Gate) Load() Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	return Load{
		Slots: g.limits.Slots, Limit: g.limit(time.Now()), InUse: g.running, Waiting: len(g.queue), WaitingInTime: countInTime(g.queue, time.Now()),
		ServiceTime: g.drain.serviceTime, Refused: g.refused,
	}
}

// expectedWait estimates how long a request waits if ahead others run before it. Requests
// that would run after it must not count: otherwise a queue of late requests would cause
// the refusal of all arriving ones, although these could run at once. The mutex is held.
func (g *Gate) expectedWait(now time.Time, ahead int) time.Duration {
	return max(g.drain.wait(now, ahead+1, g.limit(now)), g.pacer.ExpectedWait(ahead+1))
}

// overloaded returns a refusal for a request with the given expected wait. RetryAfter is
// the wait plus a random part of the same length, or of one second if that is longer, so
// that requests that are refused together aren't repeated together. The mutex is held.
func (g *Gate) overloaded(wait time.Duration, reason string) *kind.Error {
	g.refused++
	return &kind.Error{Kind: kind.Overloaded, Message: reason, Wait: wait, RetryAfter: wait + rand.N(max(wait, time.Second))}
}
