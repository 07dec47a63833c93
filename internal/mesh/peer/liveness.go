package peer

import (
	"net"
	"time"

	"github.com/limpetdock/limpetdock/internal/stall"
)

const (
	// pingAfter is how long a request may be out without a byte of the peer before it
	// is asked whether it is there, and pongWithin how long nothing may move then. A
	// connection may go silent for good while new ones work.
	pingAfter  = 400 * time.Millisecond
	pongWithin = 600 * time.Millisecond
	// lookEvery is the pause between looks whether something moves.
	lookEvery = 50 * time.Millisecond
)

// liveness tells a connection that went silent from one that is busy. A ping waits
// behind what is queued before it, and its answer behind what the peer has queued; on
// a slow link either takes long. So bytes count as life, not frames: those of the
// peer, and of the own ones those before the ping that the peer acknowledged. Later
// ones don't, or a connection that takes bytes and gives none would never be found.
type liveness struct {
	// heard is when bytes of the peer last came, and pinged when it was last pinged.
	heard, pinged time.Time
	// ahead is how many bytes were queued before the ping since the connection was
	// opened, and acknowledged how many the peer had by the last look.
	ahead, acknowledged uint64
	// moved is when bytes before the ping were last acknowledged, or the ping was queued.
	moved time.Time
}

// asked says whether a ping is out and nothing came since.
func (l *liveness) asked() bool { return l.heard.Before(l.pinged) }

// ping notes that a ping was queued behind so many bytes.
func (l *liveness) ping(now time.Time, ahead, acknowledged uint64) {
	l.pinged, l.moved = now, now
	l.ahead, l.acknowledged = ahead, acknowledged
}

// silent says whether nothing moves any more on a connection with a ping out.
func (l *liveness) silent(now time.Time, acknowledged uint64) bool {
	if acknowledged > l.acknowledged {
		if l.acknowledged < l.ahead {
			l.moved = now
		}
		l.acknowledged = acknowledged
	}
	return now.Sub(l.moved) >= pongWithin
}

// check pings a peer that wasn't heard of for a while, and closes a connection on
// which nothing moves. It gives the time to the next check.
func (l *link) check(w *writer) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.writer != w {
		return pingAfter
	}
	now := time.Now()
	if l.life.asked() {
		if l.life.silent(now, stall.Acknowledged(w.conn)) {
			go w.close()
		}
		return lookEvery
	}
	if quiet := now.Sub(l.life.heard); quiet < pingAfter {
		return pingAfter - quiet
	}
	if frame, err := encode(framePing, 0, nil); err == nil {
		// If it can't be sent the connection ends.
		ahead, _ := w.enqueue(frame)
		l.life.ping(now, ahead, stall.Acknowledged(w.conn))
	}
	return lookEvery
}

// hear notes that bytes of the peer came.
func (l *link) hear(int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.life.heard = time.Now()
}

// hearing tells when bytes of the peer come, and how many.
type hearing struct {
	conn net.Conn
	hear func(bytes int)
}

func (h hearing) Read(p []byte) (int, error) {
	n, err := h.conn.Read(p)
	if n > 0 {
		h.hear(n)
	}
	return n, err
}
