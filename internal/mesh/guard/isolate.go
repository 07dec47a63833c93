package guard

import (
	"context"
	"net/http"
	"time"

	"github.com/limpetdock/limpetdock/internal/clock"
	"github.com/limpetdock/limpetdock/internal/kind"
	"github.com/limpetdock/limpetdock/internal/mesh"
	"github.com/limpetdock/limpetdock/internal/stopping"
	"github.com/limpetdock/limpetdock/internal/suspect"
)

// Suspects is the node's table of requests that may crash backend servers.
type Suspects interface {
	// Check returns how a request is to be treated.
	Check(fingerprint func() uint64) suspect.Entry
	// Died records that a request was in flight when the backend server died, and Completed that a
	// suspect was answered.
	Died(fingerprint uint64, d suspect.Death)
	Completed(fingerprint uint64)
}

// suspicion returns how the request is to be treated.
func (g *Guard) suspicion(s *requestState) suspect.Level {
	found := g.Suspects.Check(s.request.Fingerprint)
	s.blockedFor, s.onTrial = found.Until-g.Now(), found.OnTrial
	if found.Level == suspect.Unsuspected && s.request.Suspected {
		return suspect.Suspected
	}
	return found.Level
}

// isolate waits until the request may run: a suspect runs alone, and a blocked request not at all.
// The level may change during the wait.
func (g *Guard) isolate(ctx context.Context, s *requestState) (suspect.Execution, *kind.Error) {
	for {
		s.level = g.suspicion(s)
		if s.level == suspect.Blocked {
			return suspect.Execution{}, mesh.BlockedError(s.blockedFor)
		}
		x, ok := g.enter(ctx, s)
		if !ok {
			return suspect.Execution{}, g.isolationError(ctx, s)
		}
		if g.suspicion(s) == s.level {
			return x, nil
		}
		x.Leave()
	}
}

// maxIsolationWait bounds how long a suspect waits for the requests that run, as new ones wait for it
// meanwhile.
const maxIsolationWait = time.Second

// enter waits for the request's turn. A request that isn't suspected waits no longer than its queue
// timeout while a suspect runs, as its entry may know a better target.
func (g *Guard) enter(ctx context.Context, s *requestState) (suspect.Execution, bool) {
	timeout := max(s.request.QueueTimeout-(g.Now()-s.start), time.Millisecond)
	if s.level == suspect.Suspected {
		timeout = maxIsolationWait
	}
	wait, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	x, ok := g.isolation.Enter(wait, s.level == suspect.Suspected)
	if ok && s.level == suspect.Suspected {
		g.awaitAbandoned(ctx)
	}
	return x, ok
}

// isolationError returns the refusal of a request that was not let in in time.
func (g *Guard) isolationError(ctx context.Context, s *requestState) *kind.Error {
	switch {
	case stopping.Ended(ctx):
		return g.leavingError()
	case ctx.Err() != nil:
		return kind.New(kind.DeadlineNotRun, "the deadline passed while a request that may crash the backend server ran alone or waited to")
	case s.level == suspect.Suspected:
		return kind.New(kind.Overloaded, "the request may crash the backend server, which has others to complete first")
	}
	return kind.New(kind.Overloaded, "a request that may crash the backend server runs alone")
}

// awaitAbandoned waits until requests that were given up have ended at the backend server: until it
// reports that it runs nothing, or the time has passed within which it may still run them.
func (g *Guard) awaitAbandoned(ctx context.Context) {
	for g.isolation.AbandonedPresent() {
		if load, ok := g.probeWithin(refreshTimeout); ok && load.Running+load.Waiting == 0 {
			g.isolation.ConfirmIdle()
			return
		}
		if !clock.Sleep(ctx, recoveryCheckInterval) {
			return
		}
	}
}

// recordSuspicion records what the outcome shows about whether the request crashes backend servers,
// and returns the error for it. It must be called before the execution ends.
func (g *Guard) recordSuspicion(s *requestState, x suspect.Execution, a *mesh.Answer, e *kind.Error) *kind.Error {
	if e != nil {
		return g.investigate(s, x, e)
	}
	// A backend server that stopped at the time limit has not run the request to its end.
	if a.Status != http.StatusGatewayTimeout {
		g.recordServed(s.request.Fingerprint())
	}
	return nil
}

const (
	// servedMemory is how long a guard remembers that the backend server has answered a request, and
	// maxServed how many requests it remembers.
	servedMemory = time.Minute
	maxServed    = 2048
)

// recordServed records that the backend server has answered a request.
func (g *Guard) recordServed(fingerprint uint64) {
	g.served.Add(fingerprint, g.Now())
	found := g.Suspects.Check(func() uint64 { return fingerprint })
	if found.Level != suspect.Unsuspected || found.Open {
		g.Suspects.Completed(fingerprint)
	}
}

// servedLately reports whether the backend server has answered such a request shortly before.
func (g *Guard) servedLately(fingerprint uint64) bool {
	at, known := g.served.Peek(fingerprint)
	return known && g.Now()-at < servedMemory
}
