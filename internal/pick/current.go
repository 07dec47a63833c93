package pick

import (
	"context"
	"sync"
	"sync/atomic"
)

// Current holds the current View, which traffic goroutines read without a lock.
// The zero value holds none. Safe for concurrent use.
type Current struct {
	view    atomic.Pointer[View]
	mu      sync.Mutex
	changed chan struct{}
}

// Load returns the current View, or nil.
func (c *Current) Load() *View { return c.view.Load() }

// Store replaces the current View and wakes all waiters.
func (c *Current) Store(v *View) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.view.Store(v)
	if c.changed != nil {
		close(c.changed)
		c.changed = nil
	}
}

// Wait returns the current View as soon as fits accepts it, or nil if ctx ends first.
func (c *Current) Wait(ctx context.Context, fits func(*View) bool) *View {
	for {
		changed := c.next()
		if v := c.view.Load(); v != nil && fits(v) {
			return v
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil
		}
	}
}

// next returns a channel that the next Store closes.
func (c *Current) next() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.changed == nil {
		c.changed = make(chan struct{})
	}
	return c.changed
}
