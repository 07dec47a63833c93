package peer

import (
	"net"
	"time"

	"github.com/limpetdock/limpetdock/internal/stall"
)

const (
	// pingAfter is how long a request may be in flight without a byte received from the
	// peer before the peer is pinged, and pongTimeout how long nothing may make progress
	// after that. A connection may stop delivering for good while new ones work.
	pingAfter   = 400 * time.Millisecond
	pongTimeout = 600 * time.Millisecond
	// checkInterval is the pause between checks for progress.
	checkInterval = 50 * time.Millisecond
)

// liveness tells an unresponsive connection from a busy one. A ping is queued behind
// earlier frames, and the pong behind what the peer has queued; on a slow link either
// takes long. So progress is measured in bytes, not frames: bytes received from the peer,
// and bytes queued before the ping that the peer acknowledged. Bytes queued later don't
// count, or a connection that accepts bytes and returns none would never be detected.
type liveness struct {
	// lastReceived is when bytes were last received from the peer, and pingedAt when it was
	// last pinged.
	lastReceived, pingedAt time.Time
	// pingOffset is how many bytes were queued before the ping since the connection was
	// opened, and acknowledged how many the peer had acknowledged at the last check.
	pingOffset, acknowledged uint64
	// lastProgress is when bytes before the ping were last acknowledged, or the ping was queued.
	lastProgress time.Time
}

// awaitingPong reports whether nothing was received since the last ping.
func (l *liveness) awaitingPong() bool { return l.lastReceived.Before(l.pingedAt) }

// ping records that a ping was queued at the given stream offset.
func (l *liveness) ping(now time.Time, offset, acknowledged uint64) {
	l.pingedAt, l.lastProgress = now, now
	l.pingOffset, l.acknowledged = offset, acknowledged
}

// stalled reports whether a connection with an outstanding ping makes no progress.
func (l *liveness) stalled(now time.Time, acknowledged uint64) bool {
	if acknowledged > l.acknowledged {
		if l.acknowledged < l.pingOffset {
			l.lastProgress = now
		}
		l.acknowledged = acknowledged
	}
	return now.Sub(l.lastProgress) >= pongTimeout
}

// check pings a peer from which nothing was received for a while, and closes a stalled
// connection. It returns the time to the next check.
func (l *link) check(w *writer) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.writer != w {
		return pingAfter
	}
	now := time.Now()
	if l.liveness.awaitingPong() {
		if l.liveness.stalled(now, stall.Acknowledged(w.conn)) {
			go w.close()
		}
		return checkInterval
	}
	if idle := now.Sub(l.liveness.lastReceived); idle < pingAfter {
		return pingAfter - idle
	}
	if frame, err := encode(framePing, 0, nil); err == nil {
		// If the ping can't be sent, the connection is closed.
		offset, _ := w.enqueue(frame, lowestPriority)
		l.liveness.ping(now, offset, stall.Acknowledged(w.conn))
	}
	return checkInterval
}

// noteReceived records that bytes were received from the peer.
func (l *link) noteReceived(int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.liveness.lastReceived = time.Now()
}

// observedConn calls onRead with the number of bytes of each read from a connection.
type observedConn struct {
	conn   net.Conn
	onRead func(bytes int)
}

func (o observedConn) Read(p []byte) (int, error) {
	n, err := o.conn.Read(p)
	if n > 0 {
		o.onRead(n)
	}
	return n, err
}
