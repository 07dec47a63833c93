// Package accept implements accept loops for listeners.
package accept

import (
	"errors"
	"net"
	"time"
)

// RetryDelay is the default delay after a failed accept. File descriptors are freed
// when requests end, which takes some tens of milliseconds.
const RetryDelay = 20 * time.Millisecond

// Loop passes each accepted connection to take until l is closed; take must not
// block. On any other accept error, such as a temporary lack of file descriptors, it
// calls failed and retries after pause. Open connections are not affected.
func Loop(l net.Listener, pause time.Duration, failed func(), take func(net.Conn)) {
	for {
		conn, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			failed()
			time.Sleep(pause)
			continue
		}
		take(conn)
	}
}
