package guard

import (
	"context"
	"net"
	"net/http/httptrace"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// errRevoked is a write that came after its permit had ended.
var errRevoked = eris.New("the request may not be sent any more")

// permit lets one request's first byte out to the backend server, or proves
// that none went. It guards against a process frozen between its last check of
// the deadline and the write, which would run stale work when it wakes: the
// deadline is read again by the write itself. Safe for concurrent use.
type permit struct {
	deadline time.Time
	mu       sync.Mutex
	sent     bool
	revoked  bool
}

// use is asked before every write; the first one decides.
func (p *permit) use() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.sent {
		return nil
	}
	if p.revoked || passed(p.deadline, time.Now()) {
		p.revoked = true
		return errRevoked
	}
	p.sent = true
	return nil
}

// revoke ends the permit. It returns true if no byte has gone and none will.
func (p *permit) revoke() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.sent {
		return false
	}
	p.revoked = true
	return true
}

// passed compares by the monotonic clock, which stands still while a VM is
// suspended, and by the wall clock, which a step may move. Either one past
// the deadline refuses, which is always safe.
func passed(deadline, now time.Time) bool {
	return now.After(deadline) || now.Round(0).After(deadline.Round(0))
}

// backendConn is a connection to the backend server whose writes need the
// permit of the request that uses it.
type backendConn struct {
	net.Conn
	mu     sync.Mutex
	permit *permit
}

// Write writes under the permit of the current request.
func (c *backendConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	p := c.permit
	c.mu.Unlock()
	if p != nil {
		if err := p.use(); err != nil {
			return 0, err
		}
	}
	return c.Conn.Write(b)
}

func (c *backendConn) set(p *permit) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.permit = p
}

// dialBackend opens a connection whose writes can be permitted.
func dialBackend(ctx context.Context, network, addr string) (net.Conn, error) {
	var d net.Dialer
	conn, err := d.DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	return &backendConn{Conn: conn}, nil
}

// withPermit makes the transport put the request's permit on whichever
// connection it takes, new or kept.
func withPermit(ctx context.Context, p *permit) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			if c, ok := info.Conn.(*backendConn); ok {
				c.set(p)
			}
		},
	})
}
