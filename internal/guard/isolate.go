package guard

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/limpetdock/limpetdock/internal/headers"
	"github.com/limpetdock/limpetdock/internal/kind"
)

// aloneFor bounds how long a suspect keeps others off the backend server. A
// suspect that runs longer goes on in company.
const aloneFor = 2 * time.Second

// isolation lets suspects run alone. If one of several requests in flight
// crashes the backend server, nobody can tell which; with a suspect alone there,
// its guilt or innocence is certain. Safe for concurrent use.
type isolation struct {
	mu      sync.Mutex
	running int
	// alone is set while a suspect runs alone or waits to; it is closed when
	// others may go on.
	alone chan struct{}
	// empty is closed when the last of the others has left.
	empty chan struct{}
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

// visit is a request's time at the backend server.
type visit struct {
	// leave ends it. It must be called once.
	leave func()
	// alone says that nothing else has run there since it began.
	alone func() bool
}

// enter waits until a request may run, a suspect alone. It returns false if
// ctx ends first.
func (i *isolation) enter(ctx context.Context, suspect bool) (visit, bool) {
	if suspect {
		return i.joinAlone(ctx)
	}
	if !i.join(ctx) {
		return visit{}, false
	}
	return visit{leave: i.leave, alone: func() bool { return false }}, true
}

// joinAlone waits until nothing else runs and keeps others off until the visit
// ends or aloneFor has passed.
func (i *isolation) joinAlone(ctx context.Context) (visit, bool) {
	mine, ok := i.claim(ctx)
	if !ok {
		return visit{}, false
	}
	var released atomic.Bool
	release := sync.OnceFunc(func() {
		released.Store(true)
		i.release(mine)
	})
	if !i.waitEmpty(ctx) {
		release()
		return visit{}, false
	}
	timer := time.AfterFunc(aloneFor, release)
	leave := func() {
		timer.Stop()
		release()
	}
	return visit{leave: leave, alone: func() bool { return !released.Load() }}, true
}

// claim waits for other suspects and then keeps everyone else off.
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

// enter waits for a slot and, for a suspect, until it is alone. The end of the
// visit gives both back.
func (g *Guard) enter(a admission, r *http.Request) (visit, *kind.Error) {
	slot, refusal := g.gate.Enter(a.ctx, rankOf(r, a.class))
	if refusal != nil {
		return visit{}, refusal
	}
	v, ok := g.isolation.enter(a.ctx, r.Header.Get(headers.Suspect) != "")
	if !ok {
		slot.Leave()
		return visit{}, errLateInQueue()
	}
	leave := v.leave
	v.leave = func() {
		leave()
		slot.Leave()
	}
	return v, nil
}

func errLateInQueue() *kind.Error {
	return kind.New(kind.DeadlineNotRun, "the deadline passed in the backend server's queue")
}
