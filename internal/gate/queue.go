package gate

import (
	"context"
	"slices"
	"time"

	"github.com/limpetdock/limpetdock/internal/kind"
)

// waiter is a request that waits for a slot. Gate.queue holds the waiters with the deepest in
// a call chain first, and those of one depth by arrival. Gate.order selects the next to run
// among the deepest, OrderGoodput among all.
type waiter struct {
	rank Rank
	// level is that of the rank, and timeInSlot that of WaitLimits.
	level      uint8
	timeInSlot time.Duration
	// timeout is how long the request may wait, or noTimeout.
	timeout time.Duration
	// senderTimeout is true if timeout was set by the sender.
	senderTimeout bool
	// deadline is zero for none.
	deadline time.Time
	// startByObjective and startByDeadline are those of WaitLimits: the latest start that meets
	// the latency objective, and the latest that meets the deadline.
	startByObjective, startByDeadline time.Time
	// result receives exactly one value.
	result chan waitResult
}

// waitResult ends the wait of a request: it gets a slot, or is refused for a reason.
type waitResult struct {
	admitted bool
	slot     Slot
	refused  Reason
}

// maxSpare bounds the number of waiters kept for reuse.
const maxSpare = 64

// newWaiter returns a waiter, a reused one if possible. The mutex is held.
func (g *Gate) newWaiter() *waiter {
	if n := len(g.spare); n > 0 {
		w := g.spare[n-1]
		g.spare = g.spare[:n-1]
		return w
	}
	return &waiter{result: make(chan waitResult, 1)}
}

// recycle keeps a waiter for reuse. No result may be sent to it any more. The mutex is
// held.
func (g *Gate) recycle(w *waiter) {
	if len(g.spare) < maxSpare {
		g.spare = append(g.spare, w)
	}
}

// enqueue adds a request to the queue, or refuses it. The mutex is held.
func (g *Gate) enqueue(ctx context.Context, rank Rank, limits WaitLimits, now time.Time) (*waiter, *kind.Error) {
	w := g.newWaiter()
	w.level, w.timeInSlot = rank.level(), limits.TimeInSlot
	w.rank, w.startByObjective, w.startByDeadline = rank, limits.StartByObjective, limits.StartByDeadline
	w.deadline, _ = ctx.Deadline()
	ahead := g.ahead(w, now)
	w.timeout, w.senderTimeout = limits.QueueTimeout, limits.QueueTimeout > 0
	if !w.senderTimeout {
		w.timeout = g.queueTimeout(rank, ahead, now)
	}
	if refusal := g.admitToQueue(w, ahead, now); refusal != nil {
		g.recycle(w)
		return nil, refusal
	}
	if len(g.queue) == 0 {
		g.nonEmptySince = now
	}
	_, end := g.section(rank.Depth)
	g.queue = slices.Insert(g.queue, end, w)
	g.scheduleDispatch()
	return w, nil
}

// admitToQueue returns a refusal if the request may not wait. It evicts a lower-ranked
// request from a full queue. With NoRefusal it refuses only if no slots are declared or
// maxQueueWithoutRefusal requests wait. The mutex is held.
func (g *Gate) admitToQueue(w *waiter, ahead int, now time.Time) *kind.Error {
	wait := g.expectedWait(now, ahead)
	if g.limits.Slots == 0 {
		return g.refuse(QueueFull, wait, "no slots are declared for this backend server")
	}
	if g.limits.NoRefusal {
		if len(g.queue) >= maxQueueWithoutRefusal {
			return g.refuse(QueueFull, wait, "the backend server's queue is full")
		}
		return nil
	}
	if wait > w.timeout {
		return g.refuse(QueueTimeout, wait, w.timeoutMessage())
	}
	if !w.deadline.IsZero() && w.deadline.Sub(now) < wait || g.scheduler.inForce && w.pastDeadline(now.Add(wait)) {
		return g.refuse(PastDeadline, wait, "the expected wait for the backend server exceeds the deadline")
	}
	if len(g.queue) < g.limits.Queue || g.evict(w, now) {
		return nil
	}
	return g.refuse(QueueFull, wait, "the backend server's slots and queue are full")
}

// ahead returns the number of waiters that would run before w if it arrived now. The
// mutex is held.
func (g *Gate) ahead(w *waiter, now time.Time) int {
	if g.scheduler.inForce {
		return aheadInGoodput(g.queue, w, now, g.standing(now))
	}
	start, end := g.section(w.rank.Depth)
	return start + g.order.ahead(g.queue[start:end], w, now, g.standing(now))
}

// evict refuses the latest waiter of the lowest rank in favour of an arriving one of a higher
// rank, or with OrderGoodput the one that would run last, and reports whether there was one. That
// waiter hasn't run, so it can still be refused. The mutex is held.
func (g *Gate) evict(arriving *waiter, now time.Time) bool {
	last := -1
	if g.scheduler.inForce {
		last = lastInGoodput(g.queue, arriving, now, g.standing(now))
	} else {
		last = g.lowest(arriving.rank)
	}
	if last < 0 {
		return false
	}
	g.remove(last).result <- waitResult{refused: Evicted}
	return true
}

// lowest returns the index of the latest waiter of the lowest rank below rank, or -1. The mutex is
// held.
func (g *Gate) lowest(rank Rank) int {
	lowest := -1
	for i, w := range g.queue {
		if w.rank.below(rank) && (lowest < 0 || !g.queue[lowest].rank.below(w.rank)) {
			lowest = i
		}
	}
	return lowest
}

// section returns the range of the queue that holds the waiters of a depth. A new waiter
// of that depth is inserted at end. The mutex is held.
func (g *Gate) section(depth int) (start, end int) {
	for start < len(g.queue) && g.queue[start].rank.Depth > depth {
		start++
	}
	for end = start; end < len(g.queue) && g.queue[end].rank.Depth == depth; {
		end++
	}
	return start, end
}

// next returns the index of the waiter that runs next in a queue that isn't empty: the
// one that the order selects among the deepest calls. The mutex is held.
func (g *Gate) next(now time.Time) int {
	_, end := g.section(g.queue[0].rank.Depth)
	return g.order.next(g.queue[:end], now, g.standing(now))
}

// remove removes the waiter at index i from the queue. The mutex is held.
func (g *Gate) remove(i int) *waiter {
	w := g.queue[i]
	g.queue = slices.Delete(g.queue, i, i+1)
	return w
}

// wait waits for the result, or until w times out, can no longer be served before its
// deadline or is expected not to be (see willMissDeadline), or ctx ends.
func (g *Gate) wait(ctx context.Context, w *waiter) (Slot, *kind.Error) {
	// Copied now: once abandoned, the waiter may be reused for another request.
	copied, timedOut := *w, false
	timer := newWaitTimer(w, time.Now())
	defer timer.Stop()
	for done := false; !done; {
		select {
		case r := <-w.result:
			return g.finish(w, r)
		case <-ctx.Done():
			done = true
		case now := <-timer.C:
			timedOut = !timer.next(now) || g.willMissDeadline(&copied, now)
			done = timedOut
		}
	}
	if g.abandon(w) {
		return Slot{}, g.timeoutError(copied, timedOut)
	}
	// The result was sent at the same moment; a slot is released unused.
	slot, refused := g.finish(w, <-w.result)
	if refused != nil {
		return Slot{}, refused
	}
	slot.releaseUnused()
	return Slot{}, g.timeoutError(copied, timedOut)
}

// waitTimer fires when a waiter can no longer meet its latency objective, and from then on
// at intervals until end, when the waiter times out or can no longer be served before its
// deadline. If the objective is unset or already missed, it fires only at end.
type waitTimer struct {
	*time.Timer
	end time.Time
}

// maxWait is longer than any deadline.
const maxWait = 24 * time.Hour

func newWaitTimer(w *waiter, now time.Time) *waitTimer {
	end := now.Add(min(w.timeout, maxWait))
	if !w.startByDeadline.IsZero() && w.startByDeadline.Before(end) {
		end = w.startByDeadline
	}
	first := end
	if w.startByObjective.After(now) && w.startByObjective.Before(end) {
		first = w.startByObjective
	}
	return &waitTimer{time.NewTimer(first.Sub(now)), end}
}

// next reports whether the waiter may continue to wait, and sets the timer again if so.
// standingAfter also serves as the interval between its checks.
func (t *waitTimer) next(now time.Time) bool {
	if !now.Before(t.end) {
		return false
	}
	t.Reset(min(t.end.Sub(now), standingAfter))
	return true
}

// willMissDeadline reports whether w, which has missed its latency objective, is expected not
// to be served before its deadline either. Requests that can still meet their objective run
// before it for as long as there are any, and a queue that has lasted this long is expected to
// last as long again. If it waited for its deadline, it would be refused too late to be served
// by another target.
func (g *Gate) willMissDeadline(w *waiter, now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.scheduler.inForce {
		// The waiter receives its refusal like any other result.
		g.refuseUnservable(now)
		return false
	}
	if w.startByDeadline.IsZero() || g.limits.NoRefusal || !g.standing(now) {
		return false
	}
	wait := max(g.expectedWait(now, g.ahead(w, now)), now.Sub(g.nonEmptySince))
	return now.Add(wait).After(w.startByDeadline)
}

// abandon removes a waiter from the queue and reports whether it was still there. If not,
// its result has been sent.
func (g *Gate) abandon(w *waiter) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	i := slices.Index(g.queue, w)
	if i < 0 {
		return false
	}
	g.recycle(g.remove(i))
	return true
}

// timeoutError returns the refusal of a request like w that has timed out in the queue, or
// has reached its deadline there.
func (g *Gate) timeoutError(w waiter, timedOut bool) *kind.Error {
	if !timedOut {
		return kind.New(kind.DeadlineNotRun, "the deadline passed in the backend server's queue")
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	reason := QueueTimeout
	if g.scheduler.inForce && w.pastDeadline(now) {
		reason = PastDeadline
	}
	return g.refuse(reason, g.expectedWait(now, g.ahead(&w, now)), reason.message(&w))
}

// finish recycles a waiter and returns the slot or the refusal of its result.
func (g *Gate) finish(w *waiter, r waitResult) (Slot, *kind.Error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	defer g.recycle(w)
	now := time.Now()
	if !r.admitted {
		return Slot{}, g.refuse(r.refused, g.expectedWait(now, g.ahead(w, now)), r.refused.message(w))
	}
	r.slot.since = now
	return r.slot, nil
}

// releaseUnused releases a slot in which no request ran, without measuring its time.
func (s Slot) releaseUnused() {
	s.gate.mu.Lock()
	defer s.gate.mu.Unlock()
	s.gate.release(s)
	s.gate.dispatch(time.Now())
}

// standing reports whether the queue has had waiters without a break for longer than
// standingAfter, so that it is unlikely to drain by itself. The mutex is held.
func (g *Gate) standing(now time.Time) bool {
	return len(g.queue) > 0 && now.Sub(g.nonEmptySince) > standingAfter
}
