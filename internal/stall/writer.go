package stall

import (
	"errors"
	"net"
	"os"
	"time"
)

// checks is how often a write that doesn't return is looked at within its limit.
const checks = 3

// Writer writes to a connection and gives up once nothing has moved for a time,
// however long the whole takes. It sets the connection's write deadlines. One
// goroutine uses it at a time.
type Writer struct {
	conn  net.Conn
	limit time.Duration
}

// NewWriter returns a Writer that gives up c after limit without progress, at the next
// check.
func NewWriter(c net.Conn, limit time.Duration) *Writer {
	return &Writer{conn: c, limit: limit}
}

// Write writes p.
func (w *Writer) Write(p []byte) (int, error) {
	n, err := w.WriteBuffers(net.Buffers{p})
	return int(n), err
}

// WriteBuffers writes several buffers as one, and consumes them.
func (w *Writer) WriteBuffers(b net.Buffers) (int64, error) {
	acknowledged, moved := Acknowledged(w.conn), time.Now()
	written := int64(0)
	for {
		if err := w.conn.SetWriteDeadline(time.Now().Add(w.limit / checks)); err != nil {
			return written, err
		}
		n, err := b.WriteTo(w.conn)
		written += n
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return written, err
		}
		now, seen := time.Now(), Acknowledged(w.conn)
		if n > 0 || seen > acknowledged {
			acknowledged, moved = seen, now
		}
		if now.Sub(moved) >= w.limit {
			return written, err
		}
	}
}
