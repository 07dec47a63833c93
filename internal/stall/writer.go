package stall

import (
	"errors"
	"net"
	"os"
	"time"
)

// checksPerTimeout is how often the progress of a blocked write is checked within its
// timeout.
const checksPerTimeout = 3

// Writer writes to a connection and fails once no progress has been made for a timeout,
// regardless of how long the whole write takes. It sets the connection's write deadlines.
// It must not be used by several goroutines at a time.
type Writer struct {
	conn    net.Conn
	timeout time.Duration
}

// NewWriter returns a Writer to c. A write fails at the first check after timeout without
// progress.
func NewWriter(c net.Conn, timeout time.Duration) *Writer {
	return &Writer{conn: c, timeout: timeout}
}

// Write implements io.Writer.
func (w *Writer) Write(p []byte) (int, error) {
	n, err := w.WriteBuffers(net.Buffers{p})
	return int(n), err
}

// WriteBuffers writes the contents of several buffers and consumes them.
func (w *Writer) WriteBuffers(b net.Buffers) (int64, error) {
	acknowledged, lastProgress := Acknowledged(w.conn), time.Now()
	written := int64(0)
	for {
		if err := w.conn.SetWriteDeadline(time.Now().Add(w.timeout / checksPerTimeout)); err != nil {
			return written, err
		}
		n, err := b.WriteTo(w.conn)
		written += n
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return written, err
		}
		now, current := time.Now(), Acknowledged(w.conn)
		if n > 0 || current > acknowledged {
			acknowledged, lastProgress = current, now
		}
		if now.Sub(lastProgress) >= w.timeout {
			return written, err
		}
	}
}
