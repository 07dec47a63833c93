package guard

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/limpetdock/limpetdock/internal/headers"
	"github.com/limpetdock/limpetdock/internal/kind"
	"github.com/limpetdock/limpetdock/internal/stopping"
)

// maxIsolation bounds how long a suspect keeps other requests off the backend server.
// A suspect that runs longer continues alongside other requests.
const maxIsolation = 2 * time.Second

// abandonedGrace is how long the backend server may still work on a request whose connection
// the guard has closed.
const abandonedGrace = time.Second

// isolation lets suspects run alone. If the backend server crashes with several
// requests in flight, the cause can't be determined. A suspect that runs alone is
// proven to be the cause or not. Safe for concurrent use.
type isolation struct {
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

// join waits while a suspect runs alone. It returns false if ctx ends first.
func (i *isolation) join(ctx context.Context) bool {
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

func (i *isolation) leave() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.running--
	if i.running == 0 && i.empty != nil {
		close(i.empty)
		i.empty = nil
	}
}

// execution is the time in which a request runs at the backend server.
type execution struct {
	// leave ends it. It must be called once.
	leave func()
	// alone reports whether nothing else has run there since it began.
	alone func() bool
}

// enter waits until a request may run; a suspect waits until it may run alone. It
// returns false if ctx ends first.
func (i *isolation) enter(ctx context.Context, suspect bool) (execution, bool) {
	if suspect {
		return i.enterAlone(ctx)
	}
	if !i.join(ctx) {
		return execution{}, false
	}
	return execution{leave: i.leave, alone: func() bool { return false }}, true
}

// enterAlone waits until nothing else runs and blocks other requests until the
// execution ends or maxIsolation has passed.
func (i *isolation) enterAlone(ctx context.Context) (execution, bool) {
	mine, ok := i.claim(ctx)
	if !ok {
		return execution{}, false
	}
	var released atomic.Bool
	release := sync.OnceFunc(func() {
		released.Store(true)
		i.release(mine)
	})
	if !i.waitEmpty(ctx) {
		release()
		return execution{}, false
	}
	timer := time.AfterFunc(maxIsolation, release)
	leave := func() {
		timer.Stop()
		release()
	}
	alone := func() bool { return !released.Load() && !i.abandonedPresent() }
	return execution{leave: leave, alone: alone}, true
}

// abandon records that a request is given up that may still be at the backend server. The server
// may die of it during a later execution.
func (i *isolation) abandon() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.abandonedUntil = time.Now().Add(abandonedGrace)
}

// abandonedPresent reports whether an abandoned request may still be at the backend server.
func (i *isolation) abandonedPresent() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return time.Now().Before(i.abandonedUntil)
}

// claim waits for other suspects and then blocks all other requests.
func (i *isolation) claim(ctx context.Context) (chan struct{}, bool) {
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

func (i *isolation) release(alone chan struct{}) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.alone = nil
	close(alone)
}

func (i *isolation) waitEmpty(ctx context.Context) bool {
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

// acquire waits for a slot and, for a suspect, until it may run alone. The end of the
// execution releases both.
func (g *Guard) acquire(a admission, r *http.Request) (execution, *kind.Error) {
	g.active.begin()
	slot, refusal := g.gate.Acquire(a.ctx, rankOf(r, a.class))
	if refusal != nil {
		g.active.end()
		if a.ctx.Err() != nil {
			refusal = refusalAtStop(a.ctx, refusal)
		}
		return execution{}, refusal
	}
	v, ok := g.isolation.enter(a.ctx, r.Header.Get(headers.Suspect) != "")
	if !ok {
		slot.Release()
		g.active.end()
		return execution{}, refusalAtStop(a.ctx, errDeadlineInQueue())
	}
	leave := v.leave
	v.leave = func() {
		leave()
		slot.Release()
		g.active.end()
	}
	return v, nil
}

// refusalAtStop returns the error for a request that was refused with e because ctx ended: if
// the node stops, that is the reason, and other targets may run the request.
func refusalAtStop(ctx context.Context, e *kind.Error) *kind.Error {
	if !stopping.Ended(ctx) {
		return e
	}
	left := kind.New(kind.Leaving, "the node stops before the request can run").WithCause(e)
	left.Outcome = e.Outcome
	return left
}

func errDeadlineInQueue() *kind.Error {
	return kind.New(kind.DeadlineNotRun, "the deadline passed in the backend server's queue")
}
