// Package upstream decides whether an HTTP answer from another process is valid and complete. All clients of
// backend servers, other nodes and the platform use it.
package upstream

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"

	"github.com/rotisserie/eris"
)

// Dial opens a TCP connection for requests and their answers, as DialStream does. Reads also fail on an answer whose
// framing net/http would take for another one.
func Dial(ctx context.Context, dialer *net.Dialer, addr string) (net.Conn, error) {
	c, err := dial(ctx, dialer, addr)
	if err != nil {
		return nil, err
	}
	c.version = &versionCheck{}
	return c, nil
}

// DialStream opens a TCP connection whose reads report io.EOF only if the peer has ended its stream. An answer without a
// length that was cut off by a reset can't be told from a complete one otherwise: the kernel reports the failure of a
// connection once, to a read or a write, and if a write gets it, reads return io.EOF as they do after an orderly end.
func DialStream(ctx context.Context, dialer *net.Dialer, addr string) (net.Conn, error) {
	c, err := dial(ctx, dialer, addr)
	if err != nil {
		return nil, err
	}
	return c, nil
}

func dial(ctx context.Context, dialer *net.Dialer, addr string) (*conn, error) {
	raw, err := dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	socket, ok := raw.(syscall.Conn)
	if !ok {
		return nil, errors.Join(eris.Errorf("a connection of type %T has no socket", raw), raw.Close())
	}
	access, err := socket.SyscallConn()
	if err != nil {
		return nil, errors.Join(err, raw.Close())
	}
	return &conn{Conn: raw, socket: access}, nil
}

// NewDialContext returns a function that opens connections for an http.Transport, see Dial.
func NewDialContext(dialer *net.Dialer) func(ctx context.Context, network, addr string) (net.Conn, error) {
	return func(ctx context.Context, _, addr string) (net.Conn, error) { return Dial(ctx, dialer, addr) }
}

// conn keeps the failure of a connection for its reads.
type conn struct {
	net.Conn
	socket syscall.RawConn
	// mu is held during each system call that writes, so that a read that returns after it finds its failure.
	mu      sync.Mutex
	failure error
	// version checks the heads of answers; nil for other streams.
	version *versionCheck
}

// NetConn returns the connection that c wraps, for its options.
func (c *conn) NetConn() net.Conn { return c.Conn }

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.version != nil && !c.version.add(p[:n]) {
		return 0, errCoding
	}
	if err == io.EOF && c.failure != nil {
		err = c.opError("read", c.failure)
	}
	return n, err
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (written int, err error) {
	for written < len(p) {
		var n int
		var failure error
		err := c.socket.Write(func(fd uintptr) (done bool) {
			n, failure = c.writeOnce(int(fd), p[written:])
			return !errors.Is(failure, syscall.EAGAIN)
		})
		if err != nil {
			return written, err
		}
		if failure != nil {
			return written, c.opError("write", failure)
		}
		written += n
	}
	return written, nil
}

// ReadFrom implements io.ReaderFrom. Without it a bufio.Writer would pass on a long body in pieces of its own size.
func (c *conn) ReadFrom(r io.Reader) (int64, error) {
	return io.Copy(struct{ io.Writer }{c}, r)
}

func (c *conn) writeOnce(fd int, p []byte) (n int, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.version != nil {
		c.version.begin()
	}
	for {
		n, err = syscall.Write(fd, p)
		switch {
		case err == nil:
			return n, nil
		case errors.Is(err, syscall.EINTR):
			continue
		case errors.Is(err, syscall.EAGAIN):
		case errors.Is(err, syscall.EPIPE):
			// Reported if the peer had ended its stream before it reset the connection, or after another failure.
		default:
			c.failure = err
		}
		return 0, err
	}
}

func (c *conn) opError(op string, err error) error {
	return &net.OpError{
		Op: op, Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: os.NewSyscallError("write", err),
	}
}
