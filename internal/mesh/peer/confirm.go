package peer

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
)

// confirmWithin bounds the wait for a request to be confirmed, for which it holds a slot:
// some dozens of round trips between regions.
const confirmWithin = 400 * time.Millisecond

// errUnconfirmed is a request whose entry doesn't say in time that it may run.
var errUnconfirmed = eris.New("the entry doesn't confirm the request")

// confirm asks the entry whether a request may run. With an error it must not.
//
// If a node dies, nobody knows how far the requests at it came, and those that must not run
// twice can't be sent again. Of one that it hasn't confirmed the entry knows that it hasn't
// run.
func (c *serverConn) confirm(ctx context.Context, stream uint32) error {
	if c.mute.Load() {
		// A machine that went dark may have a queue full of requests here.
		return errUnconfirmed
	}
	proceed := make(chan struct{})
	c.mu.Lock()
	c.unconfirmed[stream] = proceed
	c.mu.Unlock()
	defer c.forgetUnconfirmed(stream)
	if !c.reply(frameReady, stream, nil) {
		return errUnconfirmed
	}
	timeout := time.NewTimer(confirmWithin)
	defer timeout.Stop()
	select {
	case <-proceed:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-timeout.C:
		c.mute.Store(true)
		return errUnconfirmed
	}
}

// proceed lets a request run that waits to be confirmed.
func (c *serverConn) proceed(stream uint32) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if waits := c.unconfirmed[stream]; waits != nil {
		delete(c.unconfirmed, stream)
		close(waits)
	}
}

func (c *serverConn) forgetUnconfirmed(stream uint32) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.unconfirmed, stream)
}
