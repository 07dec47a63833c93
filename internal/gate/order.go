package gate

import (
	"time"

	"github.com/limpetdock/limpetdock/fleet"
)

// standFor is how long a queue may stand before lifo turns it over: a queue
// that absorbs a burst is empty again within this time (Nichols and Jacobson,
// "Controlling Queue Delay", ACM Queue 2012).
const standFor = 100 * time.Millisecond

// order decides who of a queue, which is in order of arrival, runs next. stands
// says that the queue has stood for longer than standFor. Implementations are
// pure.
type order interface {
	// next gives the place of who runs next in a queue that isn't empty.
	next(queue []*waiter, now time.Time, stands bool) int
	// ahead counts those who would run before one that arrives now.
	ahead(queue []*waiter, arriving *waiter, now time.Time, stands bool) int
}

// OrderInTime is the order for requests that say until when they are worth
// starting. No declared service has it.
const OrderInTime = "in-time"

func orderOf(name string) order {
	switch name {
	case fleet.OrderLIFO:
		return lifo{}
	case fleet.OrderDeadline:
		return earliest{}
	case OrderInTime:
		return inTime{}
	}
	return fifo{}
}

// fifo is first in, first out.
type fifo struct{}

func (fifo) next([]*waiter, time.Time, bool) int                       { return 0 }
func (fifo) ahead(queue []*waiter, _ *waiter, _ time.Time, _ bool) int { return len(queue) }

// lifo is first in, first out, and last in, first out once the queue stands:
// under overload the latest can still be served in time while the first have
// waited for too long already (Maurer, "Fail at Scale", ACM Queue 2015).
type lifo struct{}

func (lifo) next(queue []*waiter, _ time.Time, stands bool) int {
	if stands {
		return len(queue) - 1
	}
	return 0
}

func (lifo) ahead(queue []*waiter, _ *waiter, _ time.Time, stands bool) int {
	if stands {
		return 0
	}
	return len(queue)
}

// earliest is earliest deadline first (Liu and Layland, "Scheduling Algorithms
// for Multiprogramming in a Hard-Real-Time Environment", JACM 1973). One without
// a deadline runs last.
type earliest struct{}

func (earliest) next(queue []*waiter, _ time.Time, _ bool) int {
	first := 0
	for i, w := range queue {
		if before(w.deadline, queue[first].deadline) {
			first = i
		}
	}
	return first
}

func (earliest) ahead(queue []*waiter, arriving *waiter, _ time.Time, _ bool) int {
	n := 0
	for _, w := range queue {
		if !before(arriving.deadline, w.deadline) {
			n++
		}
	}
	return n
}

func before(a, b time.Time) bool {
	return !a.IsZero() && (b.IsZero() || a.Before(b))
}

// inTime is first in, first out among those that can still be answered while the
// answer is worth most; the others run only when none of these waits. In a
// standing queue first in, first out would start each request just too late to be
// of much use, and so all of them.
type inTime struct{}

func (inTime) next(queue []*waiter, now time.Time, _ bool) int {
	for i, w := range queue {
		if !w.late(now) {
			return i
		}
	}
	return 0
}

func (inTime) ahead(queue []*waiter, arriving *waiter, now time.Time, _ bool) int {
	if arriving.late(now) {
		return len(queue)
	}
	return due(queue, now)
}

// due counts those that can still be answered in time.
func due(queue []*waiter, now time.Time) int {
	n := 0
	for _, w := range queue {
		if !w.late(now) {
			n++
		}
	}
	return n
}

// late says whether a request that starts at now is answered too late to be worth
// much.
func (w *waiter) late(now time.Time) bool { return !w.startBy.IsZero() && now.After(w.startBy) }
