package gate

import (
	"context"
	"slices"
	"time"

	"github.com/limpetdock/limpetdock/internal/kind"
)

// waiter is a request that waits for a slot.
type waiter struct {
	class int
	// deadline is zero for none.
	deadline time.Time
	// verdict is told once: true for a slot, false for giving way to another.
	verdict chan bool
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
	return &waiter{verdict: make(chan bool, 1)}
}

// free keeps a waiter that nobody will send to any more. The mutex is held.
func (g *Gate) free(w *waiter) {
	if len(g.spare) < maxSpare {
		g.spare = append(g.spare, w)
	}
}

// enqueue lets a request wait, or refuses it. The mutex is held.
func (g *Gate) enqueue(ctx context.Context, class int, now time.Time) (*waiter, *kind.Error) {
	deadline, _ := ctx.Deadline()
	if refusal := g.room(class, deadline, now); refusal != nil {
		return nil, refusal
	}
	w := g.newWaiter()
	w.class, w.deadline = class, deadline
	if len(g.queue) == 0 {
		g.standing = now
	}
	g.queue = append(g.queue, w)
	g.wakeLater()
	return w, nil
}

// room makes room for a request, or refuses it. The mutex is held.
func (g *Gate) room(class int, deadline, now time.Time) *kind.Error {
	if g.limits.Slots == 0 {
		return g.overloaded(now, "no slots are declared for this backend server")
	}
	if g.limits.NoRefusal {
		if len(g.queue) >= unboundedQueue {
			return g.overloaded(now, "the backend server's queue is full")
		}
		return nil
	}
	ahead := g.order.ahead(g.queue, deadline, g.stands(now))
	if !deadline.IsZero() && deadline.Sub(now) < g.drain.wait(now, ahead+1, g.limit(now)) {
		return g.overloaded(now, "the wait for the backend server is longer than the deadline")
	}
	if len(g.queue) < g.limits.Queue || g.evict(class) {
		return nil
	}
	return g.overloaded(now, "the backend server's slots and queue are full")
}

// evict makes the latest of the lowest class give way to a higher class, and
// says whether there was one. It has not run, so it can still be refused. The
// mutex is held.
func (g *Gate) evict(class int) bool {
	lowest := -1
	for i, w := range g.queue {
		if w.class < class && (lowest < 0 || w.class <= g.queue[lowest].class) {
			lowest = i
		}
	}
	if lowest < 0 {
		return false
	}
	g.take(lowest).verdict <- false
	return true
}

// take removes a waiter from the queue. The mutex is held.
func (g *Gate) take(i int) *waiter {
	w := g.queue[i]
	g.queue = slices.Delete(g.queue, i, i+1)
	return w
}

// wait waits for the verdict.
func (g *Gate) wait(ctx context.Context, w *waiter) (Slot, *kind.Error) {
	select {
	case admitted := <-w.verdict:
		return g.judged(w, admitted)
	case <-ctx.Done():
	}
	if g.abandon(w) {
		return Slot{}, late()
	}
	// The verdict came at the same moment; a slot is given back unused.
	slot, refusal := g.judged(w, <-w.verdict)
	if refusal != nil {
		return Slot{}, refusal
	}
	slot.giveBack()
	return Slot{}, late()
}

// abandon takes a waiter out of the queue, unless it has been judged already.
func (g *Gate) abandon(w *waiter) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	i := slices.Index(g.queue, w)
	if i < 0 {
		return false
	}
	g.free(g.take(i))
	return true
}

func late() *kind.Error {
	return kind.New(kind.DeadlineNotRun, "the deadline passed in the backend server's queue")
}

// judged turns a verdict into a slot or a refusal.
func (g *Gate) judged(w *waiter, admitted bool) (Slot, *kind.Error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.free(w)
	now := time.Now()
	if !admitted {
		return Slot{}, g.overloaded(now, "gave way to a request of a higher class")
	}
	return Slot{g, now}, nil
}

// giveBack returns a slot in which nothing ran; its time is no measurement.
func (s Slot) giveBack() {
	s.gate.mu.Lock()
	defer s.gate.mu.Unlock()
	s.gate.running--
	s.gate.dispatch(time.Now())
}

// stands says whether the queue has stood for so long that it won't drain by
// itself. The mutex is held.
func (g *Gate) stands(now time.Time) bool {
	return len(g.queue) > 0 && now.Sub(g.standing) > standFor
}
