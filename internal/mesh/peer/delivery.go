package peer

import (
	"sync"
	"time"

	"github.com/limpetdock/limpetdock/internal/stall"
)

// delivery tracks whether the other end of a connection has received all answers that were
// queued on it. An answer that is still queued when the process ends is lost, and its
// outcome is unknown to the entry. Safe for concurrent use.
type delivery struct {
	mu sync.Mutex
	// queuedEnd is how many bytes were queued up to the end of the last answer since the
	// connection was opened; acknowledged is how many the other end had acknowledged at
	// the last check.
	queuedEnd, acknowledged uint64
	// lastProgress is when bytes were last acknowledged, or an answer or a part of one was queued.
	lastProgress time.Time
	// waiting counts the answers of which a part waits for the link. Their end isn't known yet.
	waiting int
}

// noteWaiting records that an answer waits for the link.
func (d *delivery) noteWaiting(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.waiting++
	d.lastProgress = now
}

// noteHandedOver records that a part of an answer no longer waits for the link and ends at the given
// stream offset. The time for which it waited doesn't count as time without progress.
func (d *delivery) noteHandedOver(end uint64, last bool, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lastProgress = now
	if last {
		d.waiting--
		d.queuedEnd = max(d.queuedEnd, end)
	}
}

// noteDropped records that answers which waited for the link were dropped.
func (d *delivery) noteDropped(answers int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.waiting -= answers
}

// awaitsLink reports whether a part of an answer waits for the link.
func (d *delivery) awaitsLink() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.waiting > 0
}

// noteQueued records that an answer was queued that ends at the given stream offset.
func (d *delivery) noteQueued(end uint64, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.queuedEnd, d.lastProgress = max(d.queuedEnd, end), now
}

// done reports whether the other end has acknowledged all answers, or has acknowledged
// nothing for pongTimeout.
func (d *delivery) done(acknowledged uint64, now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if acknowledged > d.acknowledged {
		d.acknowledged, d.lastProgress = acknowledged, now
	}
	return d.waiting == 0 && acknowledged >= d.queuedEnd || now.Sub(d.lastProgress) >= pongTimeout
}

// delivered reports whether no request is running and all answers are done.
func (c *serverConn) delivered(now time.Time) bool {
	c.mu.Lock()
	running := len(c.running)
	c.mu.Unlock()
	if running > 0 || c.delivery.awaitsLink() && c.server.uplink.holds(c.writer) {
		return false
	}
	return c.delivery.done(stall.Acknowledged(c.writer.conn), now)
}

// Delivered reports whether no request of another node is running and every answer has
// either been acknowledged or is queued on a stalled connection.
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
