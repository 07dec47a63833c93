package peer

import (
	"sync"
	"time"

	"github.com/limpetdock/limpetdock/internal/stall"
)

// delivery follows the answers that were queued on a connection until the other end has
// them. An answer that is only queued when the process ends is lost, and nobody can tell
// whether its request ran. Safe for concurrent use.
type delivery struct {
	mu sync.Mutex
	// ends is how many bytes were queued up to the end of the last answer since the
	// connection was opened, and acknowledged how many the other end had by the last look.
	ends, acknowledged uint64
	// moved is when bytes were last acknowledged or an answer was queued.
	moved time.Time
}

// queued notes that an answer was queued, up to so many bytes.
func (d *delivery) queued(ends uint64, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.ends, d.moved = max(d.ends, ends), now
}

// over says whether the other end has all answers, or takes nothing any more.
func (d *delivery) over(acknowledged uint64, now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if acknowledged > d.acknowledged {
		d.acknowledged, d.moved = acknowledged, now
	}
	return acknowledged >= d.ends || now.Sub(d.moved) >= pongWithin
}

// delivered says whether no request runs and all answers have arrived.
func (c *serverConn) delivered(now time.Time) bool {
	c.mu.Lock()
	running := len(c.running)
	c.mu.Unlock()
	return running == 0 && c.answers.over(stall.Acknowledged(c.writer.conn), now)
}

// Delivered says whether nothing of other nodes is under way: no request of theirs runs,
// and every answer has arrived or is on a connection that stands still.
func (s *Server) Delivered() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for c := range s.conns {
		if !c.delivered(now) {
			return false
		}
	}
	return true
}
