package exchange

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"
)

// listenTimeout bounds the check whether the backend server still listens on the node's own VM.
const listenTimeout = 200 * time.Millisecond

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
	if c.listens(ctx) {
		return false
	}
	if c.generation.CompareAndSwap(uint64(f.Generation), uint64(f.Generation)+1) {
		// The idle connections lead to the dead process.
		c.Close()
	}
	return true
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
