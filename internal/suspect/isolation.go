package suspect

import (
	"context"
	"sync"
	"sync/atomic"
	"time"
)

// maxIsolation bounds how long a suspect keeps other requests off the backend server.
// A suspect that runs longer continues alongside other requests.
const maxIsolation = 2 * time.Second

// abandonedGrace is how long the backend server may still work on a request whose connection
// the guard has closed.
const abandonedGrace = time.Second

// Isolation lets suspects run alone on one backend server. If the server crashes with several
// requests in flight, the cause can't be determined. A suspect that runs alone is proven to be
// the cause or not. The zero value is ready for use. Safe for concurrent use.
type Isolation struct {
	mu      sync.Mutex
	running int
	// alone is set while a suspect runs alone or waits to. It is closed when others may
	// continue.
	alone chan struct{}
	// empty is closed when the last of the others has ended.
	empty chan struct{}
	// abandonedUntil is until when an abandoned request may still be at the backend server.
	abandonedUntil time.Time
}

// Execution is the time in which a request runs at the backend server.
type Execution struct {
	leave func()
	alone func() bool
}

// Leave ends the execution. It must be called once.
func (e Execution) Leave() { e.leave() }

// Alone reports whether nothing else has run there since the execution began.
func (e Execution) Alone() bool { return e.alone() }

// Enter waits until a request may run; a suspect waits until it may run alone. It returns
// false if ctx ends first.
func (i *Isolation) Enter(ctx context.Context, suspect bool) (Execution, bool) {
	if suspect {
		return i.enterAlone(ctx)
	}
	if !i.join(ctx) {
		return Execution{}, false
	}
	return Execution{leave: i.leave, alone: func() bool { return false }}, true
}

// Claimed reports whether a suspect runs alone or waits to.
func (i *Isolation) Claimed() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.alone != nil
}

// Abandon records that a request is given up that may still be at the backend server. The server
// may die of it during a later execution.
func (i *Isolation) Abandon() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.abandonedUntil = time.Now().Add(abandonedGrace)
}

// AbandonedPresent reports whether an abandoned request may still be at the backend server.
func (i *Isolation) AbandonedPresent() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return time.Now().Before(i.abandonedUntil)
}

// ConfirmIdle records that the backend server runs nothing but what is counted here, so that
// abandoned requests have ended.
func (i *Isolation) ConfirmIdle() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.abandonedUntil = time.Time{}
}

// join waits while a suspect runs alone. It returns false if ctx ends first.
func (i *Isolation) join(ctx context.Context) bool {
	for {
		i.mu.Lock()
		alone := i.alone
		if alone == nil {
			i.running++
			i.mu.Unlock()
			return true
		}
		i.mu.Unlock()
		select {
		case <-alone:
		case <-ctx.Done():
			return false
		}
	}
}

func (i *Isolation) leave() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.running--
	if i.running == 0 && i.empty != nil {
		close(i.empty)
		i.empty = nil
	}
}

// enterAlone waits until nothing else runs and blocks other requests until the
// execution ends or maxIsolation has passed.
func (i *Isolation) enterAlone(ctx context.Context) (Execution, bool) {
	mine, ok := i.claim(ctx)
	if !ok {
		return Execution{}, false
	}
	var released atomic.Bool
	release := sync.OnceFunc(func() {
		released.Store(true)
		i.release(mine)
	})
	if !i.waitEmpty(ctx) {
		release()
		return Execution{}, false
	}
	timer := time.AfterFunc(maxIsolation, release)
	leave := func() {
		timer.Stop()
		release()
	}
	alone := func() bool { return !released.Load() && !i.AbandonedPresent() }
	return Execution{leave: leave, alone: alone}, true
}

// claim waits for other suspects and then blocks all other requests.
func (i *Isolation) claim(ctx context.Context) (chan struct{}, bool) {
	for {
		i.mu.Lock()
		before := i.alone
		if before == nil {
			i.alone = make(chan struct{})
			mine := i.alone
			i.mu.Unlock()
			return mine, true
		}
		i.mu.Unlock()
		select {
		case <-before:
		case <-ctx.Done():
			return nil, false
		}
	}
}

func (i *Isolation) release(alone chan struct{}) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.alone = nil
	close(alone)
}

func (i *Isolation) waitEmpty(ctx context.Context) bool {
	i.mu.Lock()
	if i.running == 0 {
		i.mu.Unlock()
		return true
	}
	if i.empty == nil {
		i.empty = make(chan struct{})
	}
	empty := i.empty
	i.mu.Unlock()
	select {
	case <-empty:
		return true
	case <-ctx.Done():
		return false
	}
}
