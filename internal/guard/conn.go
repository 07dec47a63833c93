package guard

import (
	"context"
	"net"
	"net/http/httptrace"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

var (
	// errRevoked is a write that came after its permit had ended.
	errRevoked = eris.New("the request may not be sent any more")
	// errDead is a write to a process that is known to have ended.
	errDead = eris.New("the backend server's process has ended")
)

// permit lets one request's first byte out to the backend server, or proves
// that none went. It guards against a process frozen between its last check of
// the deadline and the write, which would run stale work when it wakes: the
// deadline is read again by the write itself. Safe for concurrent use.
type permit struct {
	deadline time.Time
	mu       sync.Mutex
	sent     bool
	revoked  bool
	// generation is that of the connection the request was sent on.
	generation uint64
}

// use is asked before every write; the first one decides.
func (p *permit) use(c *backendConn) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.sent {
		return nil
	}
	if p.revoked || passed(p.deadline, time.Now()) {
		p.revoked = true
		return errRevoked
	}
	if c.dead() {
		p.revoked = true
		return errDead
	}
	p.sent, p.generation = true, c.generation
	return nil
}

// sentIn gives the generation of the backend server that the request went to.
func (p *permit) sentIn() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.generation
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
	deaths *deaths
	// generation counts the deaths before the connection was opened.
	generation uint64
	mu         sync.Mutex
	permit     *permit
}

// dead says that the process at the other end has ended. Its end may show on
// the connection only after a write: a request sent then would look like one
// that was in flight, and be blamed for the death.
func (c *backendConn) dead() bool { return c.deaths.generation() != c.generation }

// Write writes under the permit of the current request.
func (c *backendConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	p := c.permit
	c.mu.Unlock()
	if p != nil {
		if err := p.use(c); err != nil {
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

// dial opens a connection whose writes can be permitted. The generation is read
// first: a process that takes the connection can't have ended before.
func (d *deaths) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	generation := d.generation()
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	return &backendConn{Conn: conn, deaths: d, generation: generation}, nil
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
