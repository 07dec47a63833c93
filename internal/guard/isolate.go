package guard

import (
	"context"
	"net/http"

	"github.com/limpetdock/limpetdock/internal/headers"
	"github.com/limpetdock/limpetdock/internal/kind"
	"github.com/limpetdock/limpetdock/internal/stopping"
)

// execution is the time in which a request runs at the backend server.
type execution struct {
	// leave ends it. It must be called once.
	leave func()
	// alone reports whether nothing else has run there since it began.
	alone func() bool
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
	v, ok := g.isolation.Enter(a.ctx, r.Header.Get(headers.Suspect) != "")
	if !ok {
		slot.Release()
		g.active.end()
		return execution{}, refusalAtStop(a.ctx, errDeadlineInQueue())
	}
	leave := func() {
		v.Leave()
		slot.Release()
		g.active.end()
	}
	if g.startsEnded.Load() {
		leave()
		return execution{}, leavingAtStop()
	}
	return execution{leave: leave, alone: v.Alone}, nil
}

// refusalAtStop returns the error for a request that was refused with e because ctx ended: if
// the node stops, that is the reason, and other targets may run the request.
func refusalAtStop(ctx context.Context, e *kind.Error) *kind.Error {
	if !stopping.Ended(ctx) {
		return e
	}
	left := leavingAtStop().WithCause(e)
	left.Outcome = e.Outcome
	return left
}

func leavingAtStop() *kind.Error {
	return kind.New(kind.Leaving, "the node stops before the request can run")
}

func errDeadlineInQueue() *kind.Error {
	return kind.New(kind.DeadlineNotRun, "the deadline passed in the backend server's queue")
}
