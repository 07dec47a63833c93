package gate

import (
	"math"
	"time"
)

// noTimeout is longer than any deadline.
const noTimeout = time.Duration(math.MaxInt64)

// Rank determines which requests run first, and which are evicted from a full queue.
type Rank struct {
	// Class is the class of the request's route.
	Class int
	// Depth is the number of calls above the request in its call chain. The deepest run
	// first.
	Depth int
	// Nested is true for a call that a running request makes. Only OrderGoodput uses it.
	Nested bool
}

// below reports whether a request may be evicted for one of rank other when the queue is
// full. The calls above a deep call hold slots until it ends, so that refusing it
// wastes more than refusing a call at the top of its chain.
func (r Rank) below(other Rank) bool {
	return r.Class < other.Class || r.Class == other.Class && r.Depth < other.Depth
}

// queueTimeout returns how long a call may wait with ahead others before it. A nested
// call waits no longer than a moving queue requires: one service time, and one slot's
// share of a service time for each call ahead and for itself. The mutex is held.
//
// This prevents a deadlock of a service that its own requests call. Each of these holds a
// slot until its nested calls have ended. Once they hold all slots, the nested calls wait
// for slots that only they could free, and at half of the load that the slots can
// sustain nearly all calls fail at their deadlines for as long as new ones arrive. With an
// early timeout, one of several chains fails and frees the slots that the others need.
// Calls at the top of a chain hold no other slot, so they may wait until their deadline.
func (g *Gate) queueTimeout(r Rank, ahead int, now time.Time) time.Duration {
	if r.Depth == 0 || g.limits.NoRefusal || g.drain.serviceTime == 0 {
		return noTimeout
	}
	each := g.drain.serviceTime / time.Duration(max(g.limit(now), 1))
	return max(g.drain.serviceTime+each*time.Duration(ahead+1), standingAfter)
}
