// Package accept takes connections from a listener.
package accept

import (
	"errors"
	"net"
	"time"
)

// Pause suits most listeners after a failed accept: descriptors come free when a
// request ends, which takes some dozens of milliseconds.
const Pause = 20 * time.Millisecond

// Loop hands each connection to take until l is closed; take must not block. When
// accepting fails otherwise, as when descriptors have run out for a moment, failed
// is called and l is tried again after a pause: what is open goes on.
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
