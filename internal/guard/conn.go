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
	// errRevoked is returned by a write after its permit was revoked or its deadline
	// passed.
	errRevoked = eris.New("the request's deadline has passed or it was cancelled before sending")
	// errProcessEnded is returned by a write to a process that is known to have ended.
	errProcessEnded = eris.New("the backend server's process has ended")
)

// permit controls whether the first byte of a request is sent to the backend server,
// or proves that none was sent. It guards against a process that is frozen between its
// last check of the deadline and the write, and would run an expired request when it
// resumes: the write itself checks the deadline again. Safe for concurrent use.
type permit struct {
	deadline time.Time
	mu       sync.Mutex
	sent     bool
	revoked  bool
	// generation is the generation of the connection that the request was sent on.
	generation uint64
}

// authorize is called before every write. The first call decides whether the request
// is sent.
func (p *permit) authorize(c *backendConn) error {
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
		return errProcessEnded
	}
	p.sent, p.generation = true, c.generation
	return nil
}

// sentGeneration returns the generation of the backend server that the request was
// sent to.
func (p *permit) sentGeneration() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.generation
}

// revoke ends the permit. It returns true if no byte has been sent and none will be.
func (p *permit) revoke() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.sent {
		return false
	}
	p.revoked = true
	return true
}

// passed reports whether the deadline has passed by the monotonic clock or by the wall
// clock. The monotonic clock stops while a VM is suspended, and the wall clock may be
// set. Refusing when either is past the deadline is always safe.
func passed(deadline, now time.Time) bool {
	return now.After(deadline) || now.Round(0).After(deadline.Round(0))
}

// backendConn is a connection to the backend server. Its writes need the permit of the
// request that uses it.
type backendConn struct {
	net.Conn
	deaths *deaths
	// generation counts the deaths before the connection was opened.
	generation uint64
	mu         sync.Mutex
	permit     *permit
}

// dead reports whether the process at the other end has ended. The connection itself
// may report that only after a write. A request sent then would count as in flight at
// the death and be blamed for it.
func (c *backendConn) dead() bool { return c.deaths.generation() != c.generation }

// Write writes b if the permit of the current request allows it.
func (c *backendConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	p := c.permit
	c.mu.Unlock()
	if p != nil {
		if err := p.authorize(c); err != nil {
			return 0, err
		}
	}
	return c.Conn.Write(b)
}

func (c *backendConn) setPermit(p *permit) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.permit = p
}

// dial opens a connection whose writes are controlled by permits. The generation is
// read before the connection is opened, so the process that accepts it can't have
// ended earlier.
func (d *deaths) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	generation := d.generation()
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	return &backendConn{Conn: conn, deaths: d, generation: generation}, nil
}

// withPermit makes the transport set the request's permit on the connection it uses,
// whether new or reused.
func withPermit(ctx context.Context, p *permit) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			if c, ok := info.Conn.(*backendConn); ok {
				c.setPermit(p)
			}
		},
	})
}
