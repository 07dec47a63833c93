package exchange

import (
	"context"

	"github.com/limpetdock/limpetdock/internal/death"
)

// Investigate finds out whether the backend server's process has died with the request of a failed
// exchange in flight. serves asks the backend server whether it serves requests.
func (c *Client) Investigate(ctx context.Context, f *Failure, serves func(context.Context) bool) death.Finding {
	if f.Outcome != Unknown {
		return death.Unanswered
	}
	var finding death.Finding
	if f.ByIntermediary() {
		finding = c.detector.InvestigateBehindIntermediary(f.conn, func() bool { return serves(ctx) })
	} else {
		finding = c.detector.Investigate(ctx, f.conn)
	}
	if finding.Died() {
		c.closeStale()
	}
	return finding
}

// closeStale closes the idle connections to processes that have died.
func (c *Client) closeStale() {
	c.mu.Lock()
	defer c.mu.Unlock()
	kept := c.idle[:0]
	for _, pc := range c.idle {
		if pc.watch.Stale() {
			pc.abort()
			continue
		}
		kept = append(kept, pc)
	}
	clear(c.idle[len(kept):])
	c.idle = kept
}
