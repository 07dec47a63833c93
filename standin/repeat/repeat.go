// Package repeat makes an HTTP server send answers a second time, right before the answer to a later
// request on the same connection, as a faulty backend server does.
package repeat

import (
	"context"
	"net"
	"net/http"
	"slices"
)

// maxRepeated bounds the size of the answers that are repeated, in bytes.
const maxRepeated = 4 << 10

// listener accepts connections on which answers can be repeated.
type listener struct{ net.Listener }

// Listen returns a listener for an http.Server whose ConnContext is ConnContext.
func Listen(l net.Listener) net.Listener { return listener{l} }

func (l listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &Conn{Conn: c}, nil
}

type contextKey struct{}

// ConnContext is the ConnContext of an http.Server.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, contextKey{}, c)
}

// secondAnswer is a copy of an answer.
type secondAnswer struct {
	bytes []byte
	// after is the number of answers on the connection that come first.
	after int
}

// Conn is a connection of a server. It is used by the handler, which answers one request at a time.
type Conn struct {
	net.Conn
	copies []*secondAnswer
	// recording is the copy that the current answer is recorded in, or nil.
	recording *secondAnswer
	// atStart is true until the current answer begins.
	atStart bool
}

// NetConn returns the connection that c wraps.
func (c *Conn) NetConn() net.Conn { return c.Conn }

// Begin returns the connection of a request whose answer has not begun.
func Begin(r *http.Request) *Conn {
	c := r.Context().Value(contextKey{}).(*Conn)
	c.recording, c.atStart = nil, true
	return c
}

// Repeat makes the current answer be sent once more, before the next answer on the connection or, with
// after, before a later one. An answer that exceeds maxRepeated is not repeated.
func (c *Conn) Repeat(after int) {
	c.recording = &secondAnswer{after: after}
	c.copies = append(c.copies, c.recording)
}

// Write sends a part of the current answer, after the second answers that are due.
func (c *Conn) Write(b []byte) (int, error) {
	out := c.takeDue()
	if r := c.recording; r != nil {
		r.bytes = append(r.bytes, b...)
		if len(r.bytes) > maxRepeated {
			c.copies = slices.DeleteFunc(c.copies, func(s *secondAnswer) bool { return s == r })
			c.recording = nil
		}
	}
	n, err := c.Conn.Write(append(out, b...))
	return max(n-len(out), 0), err
}

// takeDue returns the second answers that are due when an answer begins.
func (c *Conn) takeDue() []byte {
	if !c.atStart {
		return nil
	}
	c.atStart = false
	var due []byte
	c.copies = slices.DeleteFunc(c.copies, func(s *secondAnswer) bool {
		if s == c.recording {
			return false
		}
		s.after--
		if s.after < 0 {
			due = append(due, s.bytes...)
		}
		return s.after < 0
	})
	return due
}
