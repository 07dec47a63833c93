package gate

import (
	"context"
	"slices"
	"time"

	"github.com/limpetdock/limpetdock/internal/kind"
)

// waiter is a request that waits for a slot.
type waiter struct {
	rank Rank
	// patience is how long it may wait, or forever.
	patience time.Duration
	// asked says that the patience is its sender's.
	asked bool
	// deadline is zero for none.
	deadline time.Time
	// startBy is until when it can still be answered in time, last until when at all; zero
	// is always.
	startBy, last time.Time
	// verdict is told once.
	verdict chan verdict
}

// verdict is what a waiter waits for: a slot, or giving way to another.
type verdict struct {
	admitted bool
	slot     Slot
}

// maxSpare bounds the waiters that are kept to be used again.
const maxSpare = 64

// newWaiter gives a waiter, a used one if there is any. The mutex is held.
func (g *Gate) newWaiter() *waiter {
	if n := len(g.spare); n > 0 {
		w := g.spare[n-1]
		g.spare = g.spare[:n-1]
		return w
	}
	return &waiter{verdict: make(chan verdict, 1)}
}

// keep keeps a waiter that nobody will send to any more. The mutex is held.
func (g *Gate) keep(w *waiter) {
	if len(g.spare) < maxSpare {
		g.spare = append(g.spare, w)
	}
}

// enqueue lets a request wait, or refuses it. The mutex is held.
func (g *Gate) enqueue(ctx context.Context, rank Rank, limits Wait, now time.Time) (*waiter, *kind.Error) {
	w := g.newWaiter()
	w.rank, w.startBy, w.last = rank, limits.StartBy, limits.Last
	w.deadline, _ = ctx.Deadline()
	ahead := g.ahead(w, now)
	w.patience, w.asked = limits.Patience, limits.Patience > 0
	if !w.asked {
		w.patience = g.patience(rank, ahead, now)
	}
	if refusal := g.room(w, ahead, now); refusal != nil {
		g.keep(w)
		return nil, refusal
	}
	if len(g.queue) == 0 {
		g.standing = now
	}
	_, end := g.section(rank.Depth)
	g.queue = slices.Insert(g.queue, end, w)
	g.wakeLater()
	return w, nil
}

// room makes room for a request, or refuses it. The mutex is held.
func (g *Gate) room(w *waiter, ahead int, now time.Time) *kind.Error {
	wait := g.expect(now, ahead)
	if g.limits.Slots == 0 {
		return g.overloaded(wait, "no slots are declared for this backend server")
	}
	if g.limits.NoRefusal {
		if len(g.queue) >= unboundedQueue {
			return g.overloaded(wait, "the backend server's queue is full")
		}
		return nil
	}
	if wait > w.patience {
		return g.overloaded(wait, w.tooLong())
	}
	if !w.deadline.IsZero() && w.deadline.Sub(now) < wait {
		return g.overloaded(wait, "the wait for the backend server is longer than the deadline")
	}
	if len(g.queue) < g.limits.Queue || g.evict(w.rank) {
		return nil
	}
	return g.overloaded(wait, "the backend server's slots and queue are full")
}

// ahead counts those who would run before one that arrives now. The mutex is held.
func (g *Gate) ahead(w *waiter, now time.Time) int {
	start, end := g.section(w.rank.Depth)
	return start + g.order.ahead(g.queue[start:end], w, now, g.stands(now))
}

// evict makes the latest of the lowest rank give way to a higher rank, and
// says whether there was one. It has not run, so it can still be refused. The
// mutex is held.
func (g *Gate) evict(rank Rank) bool {
	lowest := -1
	for i, w := range g.queue {
		if w.rank.below(rank) && (lowest < 0 || !g.queue[lowest].rank.below(w.rank)) {
			lowest = i
		}
	}
	if lowest < 0 {
		return false
	}
	g.take(lowest).verdict <- verdict{}
	return true
}

// section gives the places of those who wait at a depth, and so where one that
// comes is put. The mutex is held.
func (g *Gate) section(depth int) (start, end int) {
	for start < len(g.queue) && g.queue[start].rank.Depth > depth {
		start++
	}
	for end = start; end < len(g.queue) && g.queue[end].rank.Depth == depth; {
		end++
	}
	return start, end
}

// next gives the place of who runs next in a queue that isn't empty: of the
// deepest calls the one that the order says. The mutex is held.
func (g *Gate) next(now time.Time) int {
	_, end := g.section(g.queue[0].rank.Depth)
	return g.order.next(g.queue[:end], now, g.stands(now))
}

// take removes a waiter from the queue. The mutex is held.
func (g *Gate) take(i int) *waiter {
	w := g.queue[i]
	g.queue = slices.Delete(g.queue, i, i+1)
	return w
}

// wait waits for the verdict.
func (g *Gate) wait(ctx context.Context, w *waiter) (Slot, *kind.Error) {
	// Copied now: once abandoned, the waiter may be another request's.
	like, impatient := *w, false
	watch := newWatch(w, time.Now())
	defer watch.Stop()
	for done := false; !done; {
		select {
		case v := <-w.verdict:
			return g.judged(w, v)
		case <-ctx.Done():
			done = true
		case now := <-watch.C:
			impatient = !watch.next(now) || g.hopeless(&like, now)
			done = impatient
		}
	}
	if g.abandon(w) {
		return Slot{}, g.gaveUp(like, impatient)
	}
	// The verdict came at the same moment; a slot is given back unused.
	slot, refused := g.judged(w, <-w.verdict)
	if refused != nil {
		return Slot{}, refused
	}
	slot.giveBack()
	return Slot{}, g.gaveUp(like, impatient)
}

// watch wakes a waiter from when it can't be answered in time any more, again and again, until
// it has waited for as long as it may or can't be answered at all.
type watch struct {
	*time.Timer
	end time.Time
}

// farOff is later than any deadline.
const farOff = 24 * time.Hour

func newWatch(w *waiter, now time.Time) *watch {
	end := now.Add(min(w.patience, farOff))
	if !w.last.IsZero() && w.last.Before(end) {
		end = w.last
	}
	first := end
	if w.startBy.After(now) && w.startBy.Before(end) {
		first = w.startBy
	}
	return &watch{time.NewTimer(first.Sub(now)), end}
}

// next says whether the waiter may wait on, and until when it is woken again.
func (t *watch) next(now time.Time) bool {
	if !now.Before(t.end) {
		return false
	}
	t.Reset(min(t.end.Sub(now), standFor))
	return true
}

// hopeless says whether a request like w, which can't be answered in time any more, won't
// be answered at all. The others go before it for as long as any of them waits, and a queue
// that has stood for some time is expected to stand for as long again. Waiting for its
// deadline it would learn the same, and too late to be served elsewhere.
func (g *Gate) hopeless(w *waiter, now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if w.last.IsZero() || g.limits.NoRefusal || !g.stands(now) {
		return false
	}
	wait := max(g.expect(now, g.ahead(w, now)), now.Sub(g.standing))
	return now.Add(wait).After(w.last)
}

// abandon takes a waiter out of the queue, unless it has been judged already.
func (g *Gate) abandon(w *waiter) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	i := slices.Index(g.queue, w)
	if i < 0 {
		return false
	}
	g.keep(g.take(i))
	return true
}

// tooLongInChain is told to a call that may not wait any longer, see patience.
const tooLongInChain = "too long a wait for a call that holds slots further up its chain"

// tooLongForSender is told to a request whose sender gave its patience.
const tooLongForSender = "the wait for a slot is longer than the request's patience"

func (w *waiter) tooLong() string {
	if w.asked {
		return tooLongForSender
	}
	return tooLongInChain
}

// gaveUp refuses a request like w: it has waited for as long as it may, or until its
// deadline.
func (g *Gate) gaveUp(w waiter, impatient bool) *kind.Error {
	if !impatient {
		return kind.New(kind.DeadlineNotRun, "the deadline passed in the backend server's queue")
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	return g.overloaded(g.expect(now, g.ahead(&w, now)), w.tooLong())
}

// judged turns a verdict into a slot or a refusal.
func (g *Gate) judged(w *waiter, v verdict) (Slot, *kind.Error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	defer g.keep(w)
	now := time.Now()
	if !v.admitted {
		return Slot{}, g.overloaded(g.expect(now, g.ahead(w, now)), "gave way to a request of a higher class or deeper in a call chain")
	}
	v.slot.since = now
	return v.slot, nil
}

// giveBack returns a slot in which nothing ran; its time is no measurement.
func (s Slot) giveBack() {
	s.gate.mu.Lock()
	defer s.gate.mu.Unlock()
	s.gate.release(s)
	s.gate.dispatch(time.Now())
}

// stands says whether the queue has stood for so long that it won't drain by
// itself. The mutex is held.
func (g *Gate) stands(now time.Time) bool {
	return len(g.queue) > 0 && now.Sub(g.standing) > standFor
}
