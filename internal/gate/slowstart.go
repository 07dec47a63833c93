package gate

import "time"

const (
	// doublingInterval is how often the bound doubles if the backend server doesn't
	// report how many requests it runs.
	doublingInterval = 500 * time.Millisecond
	// maxSlowStart ends a slow start regardless of what the backend server reports.
	maxSlowStart = 10 * time.Second
)

// slowStart bounds the number of running requests after the start of a gate. A node that
// is restarted beside a busy backend server counts no requests, although those of the
// previous process may still run. If it used all slots at once, the server would run twice
// as many requests as it has slots. So the gate starts with one slot, and uses the
// server's own count until that is no higher than the gate's.
type slowStart struct {
	active bool
	began  time.Time
	// reported is true once the server has reported how many requests run; unaccounted is
	// how many of them the gate didn't admit.
	reported    bool
	unaccounted int
}

// update records the number of running requests that the backend server reports, and the
// number that the gate counts.
func (s *slowStart) update(reported, counted int) {
	if !s.active {
		return
	}
	s.reported, s.unaccounted = true, max(reported-counted, 0)
	if s.unaccounted == 0 {
		s.active = false
	}
}

// bound returns the limit in force. It is at least one, so that a server that reports
// too many running requests still gets work.
func (s *slowStart) bound(now time.Time, limit, slots int) int {
	if !s.active {
		return limit
	}
	age := now.Sub(s.began)
	if age >= maxSlowStart {
		s.active = false
		return limit
	}
	allowed := 1 << min(age/doublingInterval, 20)
	if s.reported {
		allowed = max(slots-s.unaccounted, 1)
	}
	return min(limit, allowed)
}
