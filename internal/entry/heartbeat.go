package entry

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/limpetdock/limpetdock/internal/attempt"
	"github.com/limpetdock/limpetdock/internal/sockopt"
)

// acceptDelay is how long after a pause an accepted connection may still be one that was
// opened during the pause and waited to be accepted.
const acceptDelay = time.Second

// heartbeat detects that the process was paused, by a late call of Beat. A request sent before
// or during a pause may have waited in a socket's buffer for longer than the records of its
// key are kept, and would look new. The wall clock is compared too, because the monotonic
// clock stops while a VM is suspended. Safe for concurrent use.
type heartbeat struct {
	mu   sync.Mutex
	last time.Time
	// resumed is when the last long pause ended.
	resumed time.Time
}

// Beat must be called often.
func (p *heartbeat) Beat(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.beat(now)
}

func (p *heartbeat) beat(now time.Time) {
	late := now.Sub(p.last) > attempt.MaxKeyPause || now.Round(0).Sub(p.last.Round(0)) > attempt.MaxKeyPause
	if late && !p.last.IsZero() {
		p.resumed = now
	}
	p.last = now
}

// MayPredatePause reports whether data read at now from a connection opened at opened may have
// been sent before the end of the last pause.
func (p *heartbeat) MayPredatePause(opened, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.beat(now)
	return !p.resumed.IsZero() && opened.Before(p.resumed.Add(acceptDelay))
}

type callerConnKey struct{}

// callerConn is a caller's connection.
type callerConn struct {
	net.Conn
	opened time.Time
}

// ConnContext records a caller's connection and when it was accepted, for http.Server.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, callerConnKey{}, callerConn{c, time.Now()})
}

func openedAt(r *http.Request) time.Time {
	c, ok := r.Context().Value(callerConnKey{}).(callerConn)
	if !ok {
		return time.Now()
	}
	return c.opened
}

// resetOnClose makes the close of the caller's connection reset it.
func resetOnClose(r *http.Request) {
	if c, ok := r.Context().Value(callerConnKey{}).(callerConn); ok {
		sockopt.ResetOnClose(c.Conn)
	}
}
