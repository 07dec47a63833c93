// Package gate admits requests to one backend server: as many at a time as it
// can take, a bounded number waiting, and none whose wait won't fit its deadline.
package gate

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/limpetdock/limpetdock/internal/crowd"
	"github.com/limpetdock/limpetdock/internal/kind"
)

// unboundedQueue is the length of the queue where refusal is off.
const unboundedQueue = 10_000

// Limits are what is declared of a backend server and its queue.
type Limits struct {
	// Slots is how many requests run at once, Queue how many wait.
	Slots, Queue int
	// Order is the name of an order of package fleet.
	Order string
	// Adaptive lets fewer run at once than Slots while the backend server is slow.
	Adaptive bool
	// Learnt lets as many run at once as Slot.Learn has shown to be best.
	Learnt bool
	// NoRefusal lets requests wait that would be refused.
	NoRefusal bool
}

// Gate is the admission of one backend server. Safe for concurrent use.
type Gate struct {
	mu      sync.Mutex
	limits  Limits
	order   order
	running int
	// queue is ordered by depth, the deepest first, and then by arrival.
	queue []*waiter
	spare []*waiter
	// standing is when the queue last came to be; it is meaningful while
	// somebody waits.
	standing    time.Time
	concurrency concurrency
	// curve is what was learnt with Limits.Learnt, and trials how many run that were
	// started to learn more.
	curve   *crowd.Curve
	trials  int
	drain   drain
	start   slowStart
	refused uint64
}

// New returns a Gate that admits nothing until SetLimits is called. It starts
// slowly: what its backend server already runs it can't know.
func New() *Gate {
	return &Gate{order: fifo{}, curve: crowd.New(0), start: slowStart{active: true, began: time.Now()}}
}

// SetLimits puts limits in force. Who waits already goes on waiting.
func (g *Gate) SetLimits(l Limits) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if l == g.limits {
		return
	}
	if l.Slots != g.limits.Slots || l.Adaptive != g.limits.Adaptive {
		g.concurrency.reset(l.Slots)
	}
	if l.Slots != g.limits.Slots {
		g.curve = crowd.New(l.Slots)
	}
	g.limits, g.order = l, orderOf(l.Order)
	g.dispatch(time.Now())
}

// Slot is leave to run one request. It must be left exactly once.
type Slot struct {
	gate  *Gate
	since time.Time
	// beside is how many ran at the start, itself counted.
	beside int
	trial  bool
}

// Beside gives how many requests ran when the slot was given, its own counted.
func (s Slot) Beside() int { return s.beside }

// Factor gives how many times as long as alone a request in this slot is expected to
// take, for those that run beside it.
func (s Slot) Factor() float64 {
	s.gate.mu.Lock()
	defer s.gate.mu.Unlock()
	return s.gate.curve.Factor(s.beside)
}

// Enter waits for a slot for a request. It refuses at once when the queue is
// full of requests of the same rank or higher, or when the expected wait is
// longer than what ctx leaves.
func (g *Gate) Enter(ctx context.Context, rank Rank) (Slot, *kind.Error) {
	return g.EnterWithin(ctx, rank, Wait{})
}

// Wait bounds how a request waits, where its sender says so.
type Wait struct {
	// Patience is how long it may wait: as long as no other gate would take it
	// sooner. 0 leaves that to the gate.
	Patience time.Duration
	// StartBy is until when it can still be answered in time, and Last until when at all;
	// zero is always.
	StartBy, Last time.Time
}

// EnterWithin does as Enter for a request whose sender says how it may wait.
func (g *Gate) EnterWithin(ctx context.Context, rank Rank, limits Wait) (Slot, *kind.Error) {
	g.mu.Lock()
	now := time.Now()
	if len(g.queue) == 0 {
		if slot, admitted := g.admit(now); admitted {
			g.mu.Unlock()
			return slot, nil
		}
	}
	w, refusal := g.enqueue(ctx, rank, limits, now)
	g.mu.Unlock()
	if refusal != nil {
		return Slot{}, refusal
	}
	return g.wait(ctx, w)
}

// admit gives a slot out if one more request may start now. The mutex is held.
func (g *Gate) admit(now time.Time) (Slot, bool) {
	trial := g.running >= g.limit(now)
	if trial {
		if !g.mayTry(now) {
			return Slot{}, false
		}
		g.trials++
	}
	g.running++
	return Slot{gate: g, since: now, beside: g.running, trial: trial}, true
}

// mayTry says whether a request may be started beyond the limit to learn how the
// backend server takes it. The mutex is held.
func (g *Gate) mayTry(now time.Time) bool {
	highest := g.curve.Trial()
	return g.limits.Learnt && g.trials < highest-g.curve.Limit() &&
		g.running < g.start.bound(now, highest, g.limits.Slots)
}

// Learn takes how long a request in the slot took at the backend server, for
// Limits.Learnt. The sample's level is the slot's.
func (s Slot) Learn(sample crowd.Sample) {
	sample.Level = s.beside
	s.gate.mu.Lock()
	defer s.gate.mu.Unlock()
	s.gate.curve.Learn(sample)
}

// Work gives how long a request of a class takes alone, as learnt with Limits.Learnt; 0 is
// not known.
func (g *Gate) Work(class string) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.curve.Work(class)
}

// Leave gives the slot back.
func (s Slot) Leave() {
	g := s.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	took := now.Sub(s.since)
	g.drain.left(now, took, len(g.queue) > 0 || g.running >= g.limit(now))
	g.concurrency.sample(now, took, g.running)
	g.release(s)
	g.dispatch(now)
}

// release takes a slot back. The mutex is held.
func (g *Gate) release(s Slot) {
	g.running--
	if s.trial {
		g.trials--
	}
}

// limit is how many may run now. The mutex is held.
func (g *Gate) limit(now time.Time) int {
	limit := g.limits.Slots
	switch {
	case g.limits.Learnt:
		limit = g.curve.Limit()
	case g.limits.Adaptive:
		limit = g.concurrency.now()
	}
	return g.start.bound(now, limit, g.limits.Slots)
}

// dispatch lets those who wait into free slots. The mutex is held.
func (g *Gate) dispatch(now time.Time) {
	for len(g.queue) > 0 {
		slot, admitted := g.admit(now)
		if !admitted {
			break
		}
		g.take(g.next(now)).verdict <- verdict{admitted: true, slot: slot}
	}
	if g.running == 0 && len(g.queue) == 0 {
		g.drain.idle()
	}
	g.wakeLater()
}

// wakeLater looks at the queue again after a while, as long as the gate starts:
// its bound then rises with time, and nobody may leave or be counted meanwhile.
// The mutex is held.
func (g *Gate) wakeLater() {
	if !g.start.active || g.start.waking || len(g.queue) == 0 {
		return
	}
	g.start.waking = true
	time.AfterFunc(doubleEvery, func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.start.waking = false
		g.dispatch(time.Now())
	})
}

// BackendCount takes the backend server's own count of requests that run there.
// It only matters while the gate starts: later its own count is the better one.
func (g *Gate) BackendCount(n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.start.counted(n, g.running)
	g.dispatch(time.Now())
}

// Load is how busy the backend server is.
type Load struct {
	// Slots are declared; Limit is how many of them are used at present.
	Slots   int `json:"slots"`
	Limit   int `json:"limit"`
	InUse   int `json:"in_use"`
	Waiting int `json:"waiting"`
	// Due are those that wait and can still be answered in time.
	Due     int           `json:"due"`
	Service time.Duration `json:"service_ns"`
	// Refused counts refusals since the start.
	Refused uint64 `json:"refused"`
}

// Load gives the gate's load now.
func (g *Gate) Load() Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	return Load{
		Slots: g.limits.Slots, Limit: g.limit(time.Now()), InUse: g.running, Waiting: len(g.queue), Due: due(g.queue, time.Now()),
		Service: g.drain.service, Refused: g.refused,
	}
}

// expect estimates how long a request waits that ahead others run before. Requests that
// would run after it don't count: with them, a queue of some that are late already would
// have all that come refused, though these could be run at once. The mutex is held.
func (g *Gate) expect(now time.Time, ahead int) time.Duration {
	return g.drain.wait(now, ahead+1, g.limit(now))
}

// overloaded makes a refusal of a request that would wait for so long. The hint is
// when that is over, spread over as long again, so that those who are refused
// together don't come back together. The mutex is held.
func (g *Gate) overloaded(wait time.Duration, why string) *kind.Error {
	g.refused++
	return &kind.Error{Kind: kind.Overloaded, Message: why, Wait: wait, RetryAfter: wait + rand.N(max(wait, time.Second))}
}
