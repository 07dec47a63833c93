package node

import (
	"net"
	"os"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// lingerFor is how long a closing listener still takes connections.
	lingerFor = 100 * time.Millisecond
	// lingerLast is the wait for a last one; it passes only if none is there.
	lingerLast = time.Millisecond
)

// lingeringListener takes what is in its backlog before it closes. The kernel
// has completed those connections, so their callers may have sent a request
// already; closing at once would reset them, and a caller can't tell whether a
// reset upload or booking has run. Taken, they are served like the others in flight.
//
// It must be closed before its http.Server is shut down, which would have the
// requests of the connections taken last dropped.
type lingeringListener struct {
	*net.TCPListener
	closing atomic.Bool
}

// Close lets Accept go on for a while, and close then.
func (l *lingeringListener) Close() error {
	if l.closing.Swap(true) {
		return nil
	}
	return l.SetDeadline(time.Now().Add(lingerFor))
}

// Accept gives the next connection. Once the listener closes, it gives those
// that are still there and then net.ErrClosed.
func (l *lingeringListener) Accept() (net.Conn, error) {
	conn, err := l.TCPListener.Accept()
	if err == nil || !l.closing.Load() || !eris.Is(err, os.ErrDeadlineExceeded) {
		return conn, err
	}
	// A deadline that has passed hides what waits; one ahead shows it.
	_ = l.SetDeadline(time.Now().Add(lingerLast))
	if conn, err = l.TCPListener.Accept(); err == nil {
		return conn, nil
	}
	_ = l.TCPListener.Close()
	return nil, net.ErrClosed
}
