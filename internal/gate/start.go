package gate

import "time"

const (
	// doubleEvery is how often the bound doubles where the backend server
	// doesn't say how many requests it runs.
	doubleEvery = 500 * time.Millisecond
	// maxStart ends a slow start whatever the backend server says.
	maxStart = 10 * time.Second
)

// slowStart bounds what a gate admits at first. A node that was restarted beside
// a busy backend server counts nothing in use, though the requests of the node
// before it may still run; with all slots given out anew, the server would run
// twice as many as it can. So it starts with one, and goes by the
// server's own count until that is no higher than the gate's.
type slowStart struct {
	active bool
	began  time.Time
	// told says that the server has said how many run; foreign are those that
	// the gate doesn't know of.
	told    bool
	foreign int
	// waking says that a look at the queue is due.
	waking bool
}

// counted takes the backend server's own count, with the gate's.
func (s *slowStart) counted(theirs, ours int) {
	if !s.active {
		return
	}
	s.told, s.foreign = true, max(theirs-ours, 0)
	if s.foreign == 0 {
		s.active = false
	}
}

// bound gives the limit in force. At least one slot is given out: a server that
// overstates its count must not be left without work.
func (s *slowStart) bound(now time.Time, limit, slots int) int {
	if !s.active {
		return limit
	}
	age := now.Sub(s.began)
	if age >= maxStart {
		s.active = false
		return limit
	}
	free := 1 << min(age/doubleEvery, 20)
	if s.told {
		free = max(slots-s.foreign, 1)
	}
	return min(limit, free)
}
