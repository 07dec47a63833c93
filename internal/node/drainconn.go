package node

import (
	"net"
	"sync"
	"time"
)

// lastRequestTimeout is how long a closing connection may still begin a request. The first
// bytes of one may be in transit already.
const lastRequestTimeout = 100 * time.Millisecond

// drainConn is a server's connection that can be closed between two requests. http.Server
// itself drops requests that it reads after its Shutdown has begun, and may close a connection
// whose request it is just reading. Safe for concurrent use.
type drainConn struct {
	net.Conn
	mu sync.Mutex
	// between is true while no byte of a next request has been read.
	between bool
	// deadline is the read deadline that the server has set. Until the first byte of a
	// request closeAt replaces a later one; zero means that the connection isn't closing.
	deadline, closeAt time.Time
	// closed is true once the connection was closed as unused.
	closed bool
}

// drainListener makes each accepted connection a drainConn.
type drainListener struct{ net.Listener }

// Accept returns the next connection.
func (l drainListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &drainConn{Conn: conn, between: true}, nil
}

// NetConn returns the connection that c wraps.
func (c *drainConn) NetConn() net.Conn { return c.Conn }

// Read reads into p.
func (c *drainConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && !c.beginRequest() {
		return 0, net.ErrClosed
	}
	return n, err
}

// beginRequest records that bytes were read. It returns false if the connection was closed
// meanwhile.
func (c *drainConn) beginRequest() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.between && !c.closed {
		c.between = false
		_ = c.applyDeadline()
	}
	return !c.closed
}

// closeUnused closes the connection if no byte of a next request has been read, and reports
// whether it did.
func (c *drainConn) closeUnused() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.between {
		c.closed = true
		_ = c.Conn.Close()
	}
	return c.between
}

// SetReadDeadline sets the deadline of reads.
func (c *drainConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = t
	return c.applyDeadline()
}

// requestEnded records that a request was answered.
func (c *drainConn) requestEnded() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.between = true
	_ = c.applyDeadline()
}

// stopReading ends the connection unless a request begins within lastRequestTimeout.
func (c *drainConn) stopReading() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closeAt = time.Now().Add(lastRequestTimeout)
	_ = c.applyDeadline()
}

// applyDeadline sets the deadline in force. The caller must hold mu.
func (c *drainConn) applyDeadline() error {
	t := c.deadline
	if c.between && !c.closeAt.IsZero() && (t.IsZero() || t.After(c.closeAt)) {
		t = c.closeAt
	}
	return c.Conn.SetReadDeadline(t)
}
