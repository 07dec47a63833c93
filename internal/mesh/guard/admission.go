package guard

import (
	"context"
	"sync"

	"github.com/limpetdock/limpetdock/internal/kind"
	"github.com/limpetdock/limpetdock/internal/mesh/eligibility"
)

// admission ends the waits of requests when the guard stops accepting any: they would be refused
// once they got a slot, when it may be too late for another target. Safe for concurrent use.
type admission struct {
	mu sync.Mutex
	// open ends when the guard stops accepting requests, by a call of end.
	open context.Context
	end  context.CancelFunc
}

func newAdmission() *admission {
	a := &admission{}
	a.open, a.end = context.WithCancel(context.Background())
	return a
}

// update opens or ends the admission, as accepts returns.
func (a *admission) update(accepts func() bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !accepts() {
		a.end()
		return
	}
	if a.open.Err() != nil {
		a.open, a.end = context.WithCancel(context.Background())
	}
}

// bound returns a context that ends with ctx or with the admission.
func (a *admission) bound(ctx context.Context) (context.Context, context.CancelFunc) {
	a.mu.Lock()
	open := a.open
	a.mu.Unlock()
	ctx, cancel := context.WithCancel(ctx)
	unlink := context.AfterFunc(open, cancel)
	return ctx, func() {
		unlink()
		cancel()
	}
}

// accepts reports whether the guard accepts requests.
func (g *Guard) accepts() bool {
	return !g.leaving.Load() && !g.stopping.Load() && !g.announcedLeaving.Load()
}

// leavingError returns the refusal of a request that arrives or waits while the guard accepts none.
func (g *Guard) leavingError() *kind.Error {
	if g.stopping.Load() {
		return kind.New(kind.Leaving, "the node is stopping")
	}
	if g.announcedLeaving.Load() {
		return kind.New(kind.Leaving, "the backend server says that it leaves")
	}
	v := g.view.Load()
	return kind.New(kind.Leaving, "the backend server accepts no requests: %s", eligibility.Check(v, v.LocalTarget))
}
