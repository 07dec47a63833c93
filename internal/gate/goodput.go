package gate

import (
	"math/bits"
	"time"
)

// OrderGoodput is the order that serves as many requests as possible within their latency
// objectives while more wait than the backend server can run. Unlike the other orders it selects
// among all ranks. It can't be declared for a service.
const OrderGoodput = "goodput"

const (
	// Priorities is the number of priorities that OrderGoodput distinguishes. A request of depth
	// Priorities-1 or more has the highest priority.
	Priorities = 16
	// levels is the number of ranks that OrderGoodput distinguishes: nested calls of each
	// priority, followed by other requests of each priority.
	levels = 2 * Priorities
	// nestedLevels has a bit for each level of nested calls.
	nestedLevels = 1<<Priorities - 1
	// maxPassedOver is how many starts in succession may go to other ranks while a rank has
	// requests that can be in time. The rank gets the next one, and so at least every eighth.
	maxPassedOver = 7
)

// level returns the position of the rank in OrderGoodput; 0 goes first.
func (r Rank) level() uint8 {
	l := Priorities - 1 - min(max(r.Depth, 0), Priorities-1)
	if !r.Nested {
		l += Priorities
	}
	return uint8(l)
}

// turns is what OrderGoodput remembers of the previous starts.
type turns struct {
	// lastNested is true if the last start went to a nested call, and lastInTime if it went to a request
	// that could be in time.
	lastNested, lastInTime bool
	// starts is the number of starts. waiting has a bit for each level at which requests that can be in
	// time waited at the last one, and since is the number of starts at which that level last got one or
	// began to wait.
	starts  uint32
	waiting uint32
	since   [levels]uint32
}

// next returns the level that gets the next start among those whose bit is set in present, of which
// there is at least one.
func (t *turns) next(present uint32) uint8 {
	longest, passedOver := -1, uint32(maxPassedOver-1)
	for m := present & t.waiting; m != 0; m &= m - 1 {
		l := bits.TrailingZeros32(m)
		if n := t.starts - t.since[l]; n > passedOver {
			longest, passedOver = l, n
		}
	}
	if longest >= 0 {
		return uint8(longest)
	}
	if others := present &^ nestedLevels; t.lastNested && others != 0 {
		// At most every second start goes to a nested call while a request of a higher priority
		// waits.
		highest := bits.TrailingZeros32(others) - Priorities
		present &^= nestedLevels &^ (1<<(highest+1) - 1)
	}
	return uint8(bits.TrailingZeros32(present))
}

// started records a start of a request at a level while requests that can be in time waited at the
// levels in present. late is true if the request can no longer be in time.
func (t *turns) started(level uint8, present uint32, late bool) {
	for m := present &^ t.waiting; m != 0; m &= m - 1 {
		t.since[bits.TrailingZeros32(m)] = t.starts
	}
	t.starts++
	t.since[level] = t.starts
	t.lastNested, t.lastInTime, t.waiting = level < Priorities, !late, present
}

// highestPriority returns the highest priority, which is the smallest number, of the levels whose bit is
// set. It is Priorities if none is.
func highestPriority(levels uint32) int {
	return min(bits.TrailingZeros32(levels|levels>>Priorities), Priorities)
}

// outranks reports whether late requests wait of a higher priority than all requests that can be in time.
// Every second start goes to one of these: an urgent request is better answered late than not at all.
func outranks(late, inTime uint32) bool { return highestPriority(late) < highestPriority(inTime) }

// ofPriority returns the first level of a priority that has waiters; there must be one.
func (l *lanes) ofPriority(priority int) uint8 {
	if l.present&(1<<priority) != 0 {
		return uint8(priority)
	}
	return uint8(Priorities + priority)
}

// lanes holds, for each level that has waiters, the index of the one that goes first.
type lanes struct {
	present uint32
	first   [levels]int32
}

// add puts waiter i before those of its level that were added earlier, and records the one that
// follows it in after unless that is nil.
func (l *lanes) add(level uint8, i int, after []int32) {
	if after != nil {
		after[i] = -1
		if l.present&(1<<level) != 0 {
			after[i] = l.first[level]
		}
	}
	l.present |= 1 << level
	l.first[level] = int32(i)
}

// take removes and returns the waiter that goes first at a level.
func (l *lanes) take(level uint8, after []int32) int {
	i := l.first[level]
	if l.first[level] = after[i]; after[i] < 0 {
		l.present &^= 1 << level
	}
	return int(i)
}

// choice is the request that OrderGoodput starts next.
type choice struct {
	index int
	// present has a bit for each level at which requests wait that can be in time. late is true if the
	// chosen request can't.
	present uint32
	late    bool
}

// choose returns the request to start next, or false if none may start. Requests that can be in time
// go first. Within a level the oldest goes first, or the newest if the queue is standing: oldest first
// would start each request just too late. Requests from which all free slots are reserved are left out.
func (t *turns) choose(queue []*waiter, now time.Time, standing bool, reserved *reservations) (choice, bool) {
	var inTime, late lanes
	for n := range queue {
		// The waiter that goes first within its level must be added last.
		i := len(queue) - 1 - n
		if standing {
			i = n
		}
		w := queue[i]
		switch {
		case reserved.withholds(w.level, w.timeInSlot):
		case !w.late(now):
			inTime.add(w.level, i, nil)
		case !w.pastDeadline(now):
			late.add(w.level, i, nil)
		}
	}
	if t.lastInTime && inTime.present != 0 && outranks(late.present, inTime.present) {
		return choice{int(late.first[late.ofPriority(highestPriority(late.present))]), inTime.present, true}, true
	}
	if inTime.present != 0 {
		return choice{int(inTime.first[t.next(inTime.present)]), inTime.present, false}, true
	}
	if late.present != 0 {
		return choice{index: int(late.first[bits.TrailingZeros32(late.present)]), late: true}, true
	}
	return choice{}, false
}

// pastDeadline reports whether a request that starts at now misses its deadline.
func (w *waiter) pastDeadline(now time.Time) bool {
	return !w.startByDeadline.IsZero() && now.After(w.startByDeadline)
}

// pace is when slots are expected to become free: the first after first, and each further one after
// each more. standingFor is how long the queue hasn't been empty.
type pace struct{ first, each, standingFor time.Duration }

// overloadAfter is how long a queue must have stood to count as overload that lasts. Transient slowdowns
// of a backend server by its neighbours are shorter.
const overloadAfter = 500 * time.Millisecond

// standsUntil returns until when the queue is expected to stand: for as long again as it has stood, or
// beyond any deadline if that is an overload that lasts.
func (p pace) standsUntil(now time.Time) time.Time {
	if p.standingFor >= overloadAfter {
		return now.Add(maxWait)
	}
	return now.Add(p.standingFor)
}

// plan simulates the coming starts of a standing queue and sets reasons[i] to why waiter i is refused,
// or to notRefused. after is scratch space. Both have the length of the queue.
func (t turns) plan(queue []*waiter, now time.Time, p pace, reasons []Reason, after []int32) (refused int) {
	var inTime, late lanes
	for i, w := range queue {
		reasons[i] = notRefused
		if w.late(now) {
			late.add(w.level, i, after)
		} else {
			inTime.add(w.level, i, after)
		}
	}
	start, inTimeWaits, urgent := now.Add(p.first), false, 0
	for inTime.present != 0 && outranks(late.present, inTime.present) {
		i := late.take(late.ofPriority(highestPriority(late.present)), after)
		nth := time.Duration(2*urgent + 1)
		if reasons[i] = queue[i].refusal(start.Add(nth*p.each), p.standsUntil(now), true); reasons[i] != notRefused {
			refused++
			continue
		}
		urgent++
	}
	for inTime.present != 0 {
		present := inTime.present
		level := t.next(present)
		i := inTime.take(level, after)
		if reasons[i] = queue[i].refusal(start, p.standsUntil(now), false); reasons[i] != notRefused {
			refused++
			continue
		}
		t.started(level, present, false)
		start, inTimeWaits = start.Add(p.each), true
		if urgent > 0 {
			// The next start goes to a late request of a higher priority.
			start = start.Add(p.each)
			urgent--
		}
	}
	for late.present != 0 {
		i := late.take(uint8(bits.TrailingZeros32(late.present)), after)
		if reasons[i] = queue[i].refusal(start, p.standsUntil(now), !inTimeWaits); reasons[i] != notRefused {
			refused++
			continue
		}
		start = start.Add(p.each)
	}
	return refused
}

// refusal returns why a request in a standing queue that is expected to start at start is refused.
// standingUntil is until when the queue is expected to stand. keptLate is true if the request is kept although
// it is late: only late ones wait before it, or its priority is above all that can be in time.
//
// A request that can only be answered late is refused if the queue is expected to stand until its deadline.
// A queue that stands for a shorter time, as during a transient slowdown, answers it late.
//
// A nested call is refused only for its deadline, as its parent's work is lost with it even if only
// its own objective is missed. A late request is kept while only late ones wait, because refusing all
// of them would leave slots unused.
func (w *waiter) refusal(start, standingUntil time.Time, keptLate bool) Reason {
	switch {
	case w.pastDeadline(start):
		return PastDeadline
	case w.rank.Nested || keptLate || !w.late(start) || standingUntil.Before(w.startByDeadline):
		return notRefused
	}
	return CannotBeInTime
}

// aheadInGoodput returns the number of waiters that would run before one that arrives now.
func aheadInGoodput(queue []*waiter, arriving *waiter, now time.Time, standing bool) int {
	arrivingLate := arriving.late(now)
	// inTime counts those that can be in time, if the arriving one is late; present has a bit for each of
	// their levels.
	ahead, lowerNested, inTime, present := 0, 0, 0, uint32(0)
	for _, w := range queue {
		late := w.late(now)
		switch {
		case late != arrivingLate:
			if arrivingLate {
				inTime++
				present |= 1 << w.level
			}
		case w.level > arriving.level || w.level == arriving.level && standing:
		case !late && !arriving.rank.Nested && w.rank.Nested && w.rank.Depth < arriving.rank.Depth:
			lowerNested++
		default:
			ahead++
		}
	}
	if arrivingLate && outranks(1<<arriving.level, present) {
		// Every second start goes to late requests of a higher priority.
		return ahead + min(inTime, ahead+1)
	}
	// Every second start goes to the arriving request's own rank.
	return ahead + inTime + min(lowerNested, ahead+1)
}

// lastInGoodput returns the index of the waiter that would run last, if that is after one that
// arrives now, or -1. Late requests run last.
func lastInGoodput(queue []*waiter, arriving *waiter, now time.Time, standing bool) int {
	last, lastLate, lastLevel := -1, arriving.late(now), arriving.level
	for i, w := range queue {
		late := w.late(now)
		same := late == lastLate && w.level == lastLevel
		switch {
		case same && standing:
			// The oldest of its level runs last.
			if last < 0 {
				last = i
			}
		case same && last >= 0, late && !lastLate, late == lastLate && w.level > lastLevel:
			last, lastLate, lastLevel = i, late, w.level
		}
	}
	return last
}
