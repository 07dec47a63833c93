package peer

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
)

// confirmTimeout bounds how long a request waits for the entry's confirmation while it
// holds a slot: some dozens of round trips between regions.
const confirmTimeout = 400 * time.Millisecond

// errUnconfirmed is returned for a request that its entry did not confirm.
var errUnconfirmed = eris.New("the entry did not confirm the request")

// confirm asks the entry whether a request may run. If it returns an error, the request
// must not run.
//
// When a node dies, the entry can't tell how far the requests at that node had got, and it
// can't resend those that must not run twice. A request that the entry has not confirmed
// has certainly not run.
func (c *serverConn) confirm(ctx context.Context, stream uint32) error {
	if c.unresponsive.Load() {
		// If the entry's machine is down, many of its requests may be queued here, and each
		// of them would hold a slot until the timeout.
		return errUnconfirmed
	}
	proceed := make(chan struct{})
	c.mu.Lock()
	c.unconfirmed[stream] = proceed
	c.mu.Unlock()
	defer c.removeUnconfirmed(stream)
	if !c.sendFrame(frameReady, stream, nil) {
		return errUnconfirmed
	}
	timeout := time.NewTimer(confirmTimeout)
	defer timeout.Stop()
	select {
	case <-proceed:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-timeout.C:
		c.unresponsive.Store(true)
		return errUnconfirmed
	}
}

// proceed releases a request that waits for confirmation.
func (c *serverConn) proceed(stream uint32) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if released := c.unconfirmed[stream]; released != nil {
		delete(c.unconfirmed, stream)
		close(released)
	}
}

func (c *serverConn) removeUnconfirmed(stream uint32) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.unconfirmed, stream)
}
