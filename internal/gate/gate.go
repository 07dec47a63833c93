// Package gate admits requests to one backend server: as many at a time as it
// has slots, a bounded number waiting, and none whose wait won't fit its deadline.
package gate

import (
	"container/list"
	"context"
	"sync"
	"time"

	"github.com/limpetdock/limpetdock/internal/kind"
)

// Gate is the admission of one backend server. Safe for concurrent use.
type Gate struct {
	mu      sync.Mutex
	slots   int
	maxWait int
	inUse   int
	waiting *list.List // of *waiter
	// service is a moving average of the time a slot is held.
	service time.Duration
}

type waiter struct{ admitted chan struct{} }

// averageWeight is the inverse weight of a new sample in the moving average.
const averageWeight = 8

// New returns a Gate that admits nothing until SetLimits is called.
func New() *Gate { return &Gate{waiting: list.New()} }

// SetLimits sets the slots and the length of the queue.
func (g *Gate) SetLimits(slots, queue int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.slots, g.maxWait = slots, queue
	g.admit()
}

// Enter waits for a slot. It refuses at once when the queue is full or the
// expected wait is longer than what ctx leaves. The returned function gives the
// slot back and must be called exactly once.
func (g *Gate) Enter(ctx context.Context) (leave func(), refusal *kind.Error) {
	g.mu.Lock()
	if g.inUse < g.slots && g.waiting.Len() == 0 {
		g.inUse++
		g.mu.Unlock()
		return g.leaver(), nil
	}
	wait := g.expectedWait()
	deadline, dated := ctx.Deadline()
	if g.waiting.Len() >= g.maxWait || dated && time.Until(deadline) < wait {
		g.mu.Unlock()
		e := kind.New(kind.Overloaded, "the backend server's slots and queue are full")
		e.RetryAfter = wait
		return nil, e
	}
	w := &waiter{admitted: make(chan struct{})}
	place := g.waiting.PushBack(w)
	g.mu.Unlock()
	select {
	case <-w.admitted:
		return g.leaver(), nil
	case <-ctx.Done():
		return nil, g.abandon(w, place)
	}
}

// abandon takes a waiter out of the queue, or gives its slot back when it was
// admitted at the same moment.
func (g *Gate) abandon(w *waiter, place *list.Element) *kind.Error {
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case <-w.admitted:
		g.inUse--
		g.admit()
	default:
		g.waiting.Remove(place)
	}
	return kind.New(kind.DeadlineNotRun, "the deadline passed in the backend server's queue")
}

func (g *Gate) leaver() func() {
	start := time.Now()
	return func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.service += (time.Since(start) - g.service) / averageWeight
		g.inUse--
		g.admit()
	}
}

// admit moves waiters into free slots. The mutex is held.
func (g *Gate) admit() {
	for g.inUse < g.slots && g.waiting.Len() > 0 {
		w := g.waiting.Remove(g.waiting.Front()).(*waiter)
		g.inUse++
		close(w.admitted)
	}
}

// expectedWait is the time until a new waiter would be admitted. The mutex is held.
func (g *Gate) expectedWait() time.Duration {
	if g.slots == 0 {
		return time.Second
	}
	return g.service * time.Duration(g.waiting.Len()+1) / time.Duration(g.slots)
}

// Load is how busy the backend server is.
type Load struct {
	Slots   int           `json:"slots"`
	InUse   int           `json:"in_use"`
	Waiting int           `json:"waiting"`
	Service time.Duration `json:"service_ns"`
}

// Load gives the gate's load now.
func (g *Gate) Load() Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	return Load{Slots: g.slots, InUse: g.inUse, Waiting: g.waiting.Len(), Service: g.service}
}
