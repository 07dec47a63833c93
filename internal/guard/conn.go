package guard

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"

	"github.com/limpetdock/limpetdock/internal/death"
	"github.com/limpetdock/limpetdock/internal/upstream"
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
	// key identifies the request among those to the backend server.
	key     uint64
	mu      sync.Mutex
	sent    bool
	revoked bool
	// conn is the record of the connection that the request was sent on.
	conn *death.Conn
}

func newPermit(r *http.Request, deadline time.Time) *permit {
	return &permit{deadline: deadline, key: xxhash.Sum64String(r.Method + " " + r.URL.RequestURI())}
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
	// A request that is sent to a process that has ended would be blamed for its death.
	if c.watch.Stale() {
		p.revoked = true
		return errProcessEnded
	}
	p.sent, p.conn = true, c.watch
	return nil
}

// sentOn returns the record of the connection that the request was sent on, or nil.
func (p *permit) sentOn() *death.Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.conn
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
	watch  *death.Conn
	mu     sync.Mutex
	permit *permit
	// drained is signalled when reading or closed becomes true: when the transport waits for
	// bytes, or has closed the connection.
	drained         *sync.Cond
	reading, closed bool
}

func newBackendConn(c net.Conn, watch *death.Conn) *backendConn {
	bc := &backendConn{Conn: c, watch: watch}
	bc.drained = sync.NewCond(&bc.mu)
	return bc
}

func (c *backendConn) setReading(reading bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = reading
	c.drained.Broadcast()
}

// awaitDrained waits until the transport has consumed all bytes received so far, which it
// does at once, or has closed the connection. The transport reuses a connection before it
// looks at bytes that arrived together with the end of the last answer, and would take them
// for the answer to the next request. While none is sent it closes the connection on them.
func (c *backendConn) awaitDrained() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for !c.reading && !c.closed {
		c.drained.Wait()
	}
}

// Read reads, and records that the backend server has answered or ended the connection.
func (c *backendConn) Read(b []byte) (int, error) {
	c.setReading(true)
	n, err := c.Conn.Read(b)
	c.setReading(false)
	if n > 0 {
		c.watch.Answered()
	}
	if errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET) {
		c.watch.EndedByPeer()
	}
	return n, err
}

// Close closes the connection.
func (c *backendConn) Close() error {
	c.watch.Closed()
	c.mu.Lock()
	c.closed = true
	c.drained.Broadcast()
	c.mu.Unlock()
	return c.Conn.Close()
}

// Write writes b if the permit of the current request allows it.
func (c *backendConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	p, closed := c.permit, c.closed
	c.mu.Unlock()
	if closed {
		// The transport may still try to write after it has closed the connection. The request
		// is not marked as sent then.
		return 0, net.ErrClosed
	}
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

// dialWatched opens a connection whose writes are controlled by permits.
func dialWatched(ctx context.Context, d *death.Detector, addr string) (net.Conn, error) {
	opening := d.Opening()
	conn, err := upstream.Dial(ctx, &net.Dialer{}, addr)
	if err != nil {
		return nil, err
	}
	return newBackendConn(conn, opening.Opened()), nil
}

// withPermit makes the transport set the request's permit on the connection it uses,
// whether new or reused, once nothing is left on it of earlier answers.
func withPermit(ctx context.Context, p *permit) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			if c, ok := info.Conn.(*backendConn); ok {
				c.awaitDrained()
				c.setPermit(p)
			}
		},
	})
}
