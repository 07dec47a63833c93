package exchange

import (
	"context"
	"errors"
	"maps"
	"net"
	"slices"
	"syscall"
	"time"
)

const (
	// listenTimeout bounds the check whether the backend server still listens on the node's own VM.
	listenTimeout = 200 * time.Millisecond
	// settleTime is the time in which all exchanges in flight at a death break off.
	settleTime = 20 * time.Millisecond
)

// Generation counts the deaths of the backend server's process. A connection belongs to the
// generation in which it was opened and ends with that generation's process, so all requests in
// flight at a death report the same generation, and no later request does.
type Generation uint64

// Died reports whether the backend server's process has died with the request of a failed exchange
// in flight. A process that only closed the connection still listens. One that was started again
// before the check is taken for alive, unless another request has noticed the death.
func (c *Client) Died(ctx context.Context, f *Failure) bool {
	if f.Outcome != Unknown {
		return false
	}
	if c.present() != f.Generation {
		return true
	}
	// New connections are expensive for a loaded server, so they are the last resort.
	alive := c.othersContinue(ctx) || c.present() == f.Generation && c.listens(ctx)
	if alive {
		return false
	}
	if c.generation.CompareAndSwap(uint64(f.Generation), uint64(f.Generation)+1) {
		// The idle connections lead to the dead process.
		c.Close()
	}
	return true
}

// exchangeInFlight is a request that has been or is being sent.
type exchangeInFlight struct{ ended chan struct{} }

// beginExchange records an exchange; the returned function ends it.
func (c *Client) beginExchange() func() {
	x := &exchangeInFlight{make(chan struct{})}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inFlight[x] = struct{}{}
	return func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		delete(c.inFlight, x)
		close(x.ended)
	}
}

// othersContinue reports whether any exchange that is in flight now goes on for settleTime, so that
// the backend server is alive.
func (c *Client) othersContinue(ctx context.Context) bool {
	c.mu.Lock()
	others := slices.Collect(maps.Keys(c.inFlight))
	c.mu.Unlock()
	timer := time.NewTimer(settleTime)
	defer timer.Stop()
	for _, x := range others {
		select {
		case <-x.ended:
		case <-timer.C:
			return true
		case <-ctx.Done():
			return true
		}
	}
	return false
}

func (c *Client) present() Generation { return Generation(c.generation.Load()) }

// listens reports whether the backend server accepts connections, or whether that is unknown.
func (c *Client) listens(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, listenTimeout)
	defer cancel()
	var d net.Dialer
	raw, err := d.DialContext(ctx, "tcp", c.addr)
	if err != nil {
		return !errors.Is(err, syscall.ECONNREFUSED)
	}
	c.opened.Add(1)
	// The connection was only opened to see whether that is possible.
	_ = raw.Close()
	return true
}
