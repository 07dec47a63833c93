package gate

import (
	"time"

	"github.com/limpetdock/limpetdock/fleet"
)

// standingAfter is the time for which a queue must not have been empty to count as
// standing. A queue that only absorbs a burst is empty again within this time (Nichols and
// Jacobson, "Controlling Queue Delay", ACM Queue 2012).
const standingAfter = 100 * time.Millisecond

// order selects the waiter that runs next from a queue sorted by arrival. standing is
// true if the queue hasn't been empty for longer than standingAfter. Implementations are
// pure.
type order interface {
	// next returns the index of the waiter that runs next in a queue that isn't empty.
	next(queue []*waiter, now time.Time, standing bool) int
	// ahead returns the number of waiters that would run before one that arrives now.
	ahead(queue []*waiter, arriving *waiter, now time.Time, standing bool) int
}

// OrderInTime is the order for requests with WaitLimits.StartByObjective. It can't be
// declared for a service.
const OrderInTime = "in-time"

func orderOf(name string) order {
	switch name {
	case fleet.OrderLIFO:
		return lifo{}
	case fleet.OrderDeadline:
		return earliestDeadline{}
	case OrderInTime, OrderGoodput:
		// With OrderGoodput, Gate.order isn't used.
		return inTime{}
	}
	return fifo{}
}

// fifo is first in, first out.
type fifo struct{}

func (fifo) next([]*waiter, time.Time, bool) int                       { return 0 }
func (fifo) ahead(queue []*waiter, _ *waiter, _ time.Time, _ bool) int { return len(queue) }

// lifo is first in, first out, and last in, first out for a standing queue: under
// overload the latest requests can still be served in time, while the first have already
// waited too long (Maurer, "Fail at Scale", ACM Queue 2015).
type lifo struct{}

func (lifo) next(queue []*waiter, _ time.Time, standing bool) int {
	if standing {
		return len(queue) - 1
	}
	return 0
}

func (lifo) ahead(queue []*waiter, _ *waiter, _ time.Time, standing bool) int {
	if standing {
		return 0
	}
	return len(queue)
}

// earliestDeadline is earliest deadline first (Liu and Layland, "Scheduling Algorithms
// for Multiprogramming in a Hard-Real-Time Environment", JACM 1973). Requests without a
// deadline run last.
type earliestDeadline struct{}

func (earliestDeadline) next(queue []*waiter, _ time.Time, _ bool) int {
	first := 0
	for i, w := range queue {
		if earlier(w.deadline, queue[first].deadline) {
			first = i
		}
	}
	return first
}

func (earliestDeadline) ahead(queue []*waiter, arriving *waiter, _ time.Time, _ bool) int {
	n := 0
	for _, w := range queue {
		if !earlier(arriving.deadline, w.deadline) {
			n++
		}
	}
	return n
}

// earlier reports whether deadline a is before b. A zero deadline is after all others.
func earlier(a, b time.Time) bool {
	return !a.IsZero() && (b.IsZero() || a.Before(b))
}

// inTime is first in, first out among the requests that can still meet their latency
// objective; late ones run only if none of these waits. In a standing queue, plain first in,
// first out would start each request shortly after the time at which it could still meet
// its objective, and so make all requests late.
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
	return countInTime(queue, now)
}

// countInTime returns the number of waiters that can still meet their latency objective.
func countInTime(queue []*waiter, now time.Time) int {
	n := 0
	for _, w := range queue {
		if !w.late(now) {
			n++
		}
	}
	return n
}

// late reports whether a request that starts at now misses its latency objective.
func (w *waiter) late(now time.Time) bool {
	return !w.startByObjective.IsZero() && now.After(w.startByObjective)
}
