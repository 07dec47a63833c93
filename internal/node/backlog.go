package node

import (
	"net"
	"os"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// backlogTimeout is how long a closing listener still accepts connections.
	backlogTimeout = 100 * time.Millisecond
	// lastAcceptTimeout is the timeout of the last accept. It elapses only if no
	// connection is pending.
	lastAcceptTimeout = time.Millisecond
)

// backlogListener accepts the connections in its backlog before it closes. The
// kernel has completed their handshakes, so their callers may already have sent a
// request. Closing at once would reset them, and a caller can't know whether a
// request that was reset, such as an upload or a booking, ran. Accepted connections
// are served like all others in flight.
//
// It must be closed before its http.Server is shut down, because the server would
// drop the requests on the connections accepted last.
type backlogListener struct {
	*net.TCPListener
	closing atomic.Bool
}

// Close lets Accept continue for backlogTimeout; the listener closes after that.
func (l *backlogListener) Close() error {
	if l.closing.Swap(true) {
		return nil
	}
	return l.SetDeadline(time.Now().Add(backlogTimeout))
}

// Accept returns the next connection. After Close it returns the pending connections
// and then net.ErrClosed.
func (l *backlogListener) Accept() (net.Conn, error) {
	conn, err := l.TCPListener.Accept()
	if err == nil || !l.closing.Load() || !eris.Is(err, os.ErrDeadlineExceeded) {
		return conn, err
	}
	// An expired deadline hides pending connections, so it is extended once more.
	_ = l.SetDeadline(time.Now().Add(lastAcceptTimeout))
	if conn, err = l.TCPListener.Accept(); err == nil {
		return conn, nil
	}
	_ = l.TCPListener.Close()
	return nil, net.ErrClosed
}
