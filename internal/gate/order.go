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
	next(queue []*waiter, stands bool) int
	// ahead counts those who would run before one that arrives now.
	ahead(queue []*waiter, deadline time.Time, stands bool) int
}

func orderOf(name string) order {
	switch name {
	case fleet.OrderLIFO:
		return lifo{}
	case fleet.OrderDeadline:
		return earliest{}
	}
	return fifo{}
}

// fifo is first in, first out.
type fifo struct{}

func (fifo) next([]*waiter, bool) int                       { return 0 }
func (fifo) ahead(queue []*waiter, _ time.Time, _ bool) int { return len(queue) }

// lifo is first in, first out, and last in, first out once the queue stands:
// under overload the latest can still be served in time while the first have
// waited for too long already (Maurer, "Fail at Scale", ACM Queue 2015).
type lifo struct{}

func (lifo) next(queue []*waiter, stands bool) int {
	if stands {
		return len(queue) - 1
	}
	return 0
}

func (lifo) ahead(queue []*waiter, _ time.Time, stands bool) int {
	if stands {
		return 0
	}
	return len(queue)
}

// earliest is earliest deadline first (Liu and Layland, "Scheduling Algorithms
// for Multiprogramming in a Hard-Real-Time Environment", JACM 1973). One without
// a deadline runs last.
type earliest struct{}

func (earliest) next(queue []*waiter, _ bool) int {
	first := 0
	for i, w := range queue {
		if before(w.deadline, queue[first].deadline) {
			first = i
		}
	}
	return first
}

func (earliest) ahead(queue []*waiter, deadline time.Time, _ bool) int {
	n := 0
	for _, w := range queue {
		if !before(deadline, w.deadline) {
			n++
		}
	}
	return n
}

func before(a, b time.Time) bool {
	return !a.IsZero() && (b.IsZero() || a.Before(b))
}
