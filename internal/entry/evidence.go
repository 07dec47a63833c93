package entry

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync/atomic"

	"github.com/limpetdock/limpetdock/internal/headers"
	"github.com/limpetdock/limpetdock/internal/kind"
	"github.com/limpetdock/limpetdock/internal/pick"
)

// outcomeOf tells what an exchange says about its target.
func outcomeOf(ctx context.Context, resp *http.Response, e *kind.Error) pick.Outcome {
	switch {
	case e == nil && resp.StatusCode >= http.StatusInternalServerError:
		return pick.Failed
	case e == nil:
		return pick.Good
	case errors.Is(ctx.Err(), context.Canceled):
		return pick.Neutral
	}
	switch e.Kind {
	case kind.Unreachable:
		return pick.Unreachable
	case kind.Overloaded:
		return pick.Refused
	case kind.DeadlineUnknown, kind.DeadlineNotRun:
		// The latter was spent in the guard's queue.
		return pick.Late
	case kind.BackendDied, kind.BackendBroken, kind.OutcomeUnknown:
		return pick.Failed
	}
	return pick.Neutral
}

// learnLoad takes the load that came with an answer off it. It is used with the
// age it has from here on; how old it was on arrival is part of the round trip.
func (e *Entry) learnLoad(t *pick.Target, m pick.Mark, h http.Header) {
	text := h.Get(headers.Load)
	if text == "" {
		return
	}
	delete(h, headers.Load)
	l, ok := headers.ParseLoad(text)
	if !ok {
		return
	}
	now := e.now()
	t.MeasuredRTT(m.Took(now) - l.Held)
	t.Report(pick.Report{Running: l.Running, Waiting: l.Waiting, Slots: l.Slots, Service: l.Service, At: now})
}

// learnLocal takes the load of the own backend server, which costs nothing.
func (e *Entry) learnLocal(t *pick.Target) {
	if e.load == nil {
		return
	}
	l := e.load()
	t.Report(pick.Report{Running: l.InUse, Waiting: l.Waiting, Slots: l.Limit, Service: l.Service, At: e.now()})
}

// countedBody counts the request out of its target once the answer is closed.
type countedBody struct {
	io.ReadCloser
	target *pick.Target
	closed atomic.Bool
}

func (b *countedBody) Close() error {
	if !b.closed.Swap(true) {
		b.target.End()
	}
	return b.ReadCloser.Close()
}

// timed says whether the time to an answer is the target's doing: a body that
// streams takes as long as its sender does.
func timed(out *http.Request) bool {
	return out.ContentLength >= 0 && out.ContentLength <= maxHeldBody
}
