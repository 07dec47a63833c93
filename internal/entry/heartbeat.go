package entry

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/limpetdock/limpetdock/internal/attempt"
)

// backlog is how long after a pause connections are still taken for ones that
// were opened during it and waited to be accepted.
const backlog = time.Second

// heartbeat notices that the process was paused. A request that was sent to it
// before may have waited in a socket's buffer for longer than its key's records
// last, and looks as if it came just now. It shows as a beat that is late. By
// the wall clock too, as the monotonic one stands still while a VM is suspended.
// Safe for concurrent use.
type heartbeat struct {
	mu   sync.Mutex
	last time.Time
	// woke is when the last long pause ended.
	woke time.Time
}

// Beat must be called often.
func (p *heartbeat) Beat(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.beat(now)
}

func (p *heartbeat) beat(now time.Time) {
	late := now.Sub(p.last) > attempt.KeyPause || now.Round(0).Sub(p.last.Round(0)) > attempt.KeyPause
	if late && !p.last.IsZero() {
		p.woke = now
	}
	p.last = now
}

// Doubts says whether what is read at now from a connection may be older than
// the last pause.
func (p *heartbeat) Doubts(opened, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.beat(now)
	return !p.woke.IsZero() && opened.Before(p.woke.Add(backlog))
}

type openedKey struct{}

// ConnContext keeps when a caller's connection was accepted, for http.Server.
func ConnContext(ctx context.Context, _ net.Conn) context.Context {
	return context.WithValue(ctx, openedKey{}, time.Now())
}

func openedAt(r *http.Request) time.Time {
	opened, ok := r.Context().Value(openedKey{}).(time.Time)
	if !ok {
		return time.Now()
	}
	return opened
}
