package gate

import (
	"math"
	"time"
)

// forever is longer than any deadline.
const forever = time.Duration(math.MaxInt64)

// Rank is what a request goes by when others must give way to it.
type Rank struct {
	// Class is that of the request's route.
	Class int
	// Depth is how many calls led to this one. The deepest run first.
	Depth int
}

// below says whether a request gives way to one of another rank when the queue is
// full. The calls above a deep one hold slots until it ends, so refusing it
// wastes more than refusing a first call.
func (r Rank) below(other Rank) bool {
	return r.Class < other.Class || r.Class == other.Class && r.Depth < other.Depth
}

// patience is how long a call may wait behind so many others. A call deeper in a
// chain waits no longer than a queue that moves needs: the time that a slot is
// held, and a slot's part of it for each of those ahead and itself. The mutex is held.
//
// This guards against the jam of a service that its own requests call. Each of
// these holds a slot until the calls below it have ended; once they hold all
// slots, those below wait for slots that only they themselves would free, and
// at half of the load that the slots can carry nearly all calls fail at
// their deadlines, for as long as new ones come. Given up early, one chain of
// several frees what the others need. First calls hold nothing, and so may
// wait for as long as their deadline allows.
func (g *Gate) patience(r Rank, ahead int, now time.Time) time.Duration {
	if r.Depth == 0 || g.limits.NoRefusal || g.drain.service == 0 {
		return forever
	}
	each := g.drain.service / time.Duration(max(g.limit(now), 1))
	return max(g.drain.service+each*time.Duration(ahead+1), standFor)
}
