package pick

import (
	"context"
	"sync"
	"sync/atomic"
)

// Current is the View in force, which traffic goroutines read without a lock.
// The zero value holds none. Safe for concurrent use.
type Current struct {
	view    atomic.Pointer[View]
	mu      sync.Mutex
	changed chan struct{}
}

// Load gives the View in force, or nil.
func (c *Current) Load() *View { return c.view.Load() }

// Store puts a View in force and wakes those who wait for one.
func (c *Current) Store(v *View) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.view.Store(v)
	if c.changed != nil {
		close(c.changed)
		c.changed = nil
	}
}

// Wait gives the View in force as soon as it fits, or nil when ctx ends first.
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

// next gives a channel that the next Store closes.
func (c *Current) next() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.changed == nil {
		c.changed = make(chan struct{})
	}
	return c.changed
}
