package guard

import (
	"context"
	"sync"
)

// activity counts requests. Unlike a sync.WaitGroup it may leave zero again while it is
// waited for. Safe for concurrent use.
type activity struct {
	mu sync.Mutex
	n  int
	// idle is closed when n returns to zero; nil unless someone waits.
	idle chan struct{}
}

func (a *activity) begin() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.n++
}

func (a *activity) end() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.n--
	if a.n == 0 && a.idle != nil {
		close(a.idle)
		a.idle = nil
	}
}

// wait blocks until the count is zero or ctx ends, and returns the error of ctx in that case.
func (a *activity) wait(ctx context.Context) error {
	a.mu.Lock()
	if a.n == 0 {
		a.mu.Unlock()
		return nil
	}
	if a.idle == nil {
		a.idle = make(chan struct{})
	}
	idle := a.idle
	a.mu.Unlock()
	select {
	case <-idle:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
