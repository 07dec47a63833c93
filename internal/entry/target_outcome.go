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

// targetOutcome returns what the result of an exchange shows about its target.
func targetOutcome(ctx context.Context, resp *http.Response, e *kind.Error) pick.Outcome {
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
		// DeadlineNotRun means that the deadline passed in the guard's queue.
		return pick.Late
	case kind.BackendDied, kind.BackendBroken, kind.OutcomeUnknown:
		return pick.Failed
	}
	return pick.Neutral
}

// recordLoad removes the load report from an answer's headers and records it for the target.
// The report's age counts from its arrival here; its age on arrival is part of the round trip.
func (e *Entry) recordLoad(t *pick.Target, m pick.Attempt, h http.Header) {
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
	t.RecordRTT(m.Elapsed(now) - l.GuardTime)
	t.RecordReport(pick.Report{Running: l.Running, Waiting: l.Waiting, Slots: l.Slots, Service: l.ServiceTime, At: now})
}

// recordLocalLoad records the load of the local backend server, which needs no message.
func (e *Entry) recordLocalLoad(t *pick.Target) {
	if e.load == nil {
		return
	}
	l := e.load()
	t.RecordReport(pick.Report{Running: l.InUse, Waiting: l.Waiting, Slots: l.Limit, Service: l.ServiceTime, At: e.now()})
}

// inFlightBody ends the target's in-flight request once the answer is closed.
type inFlightBody struct {
	io.ReadCloser
	target *pick.Target
	closed atomic.Bool
}

func (b *inFlightBody) Close() error {
	if !b.closed.Swap(true) {
		b.target.End()
	}
	return b.ReadCloser.Close()
}

// latencyMeasurable reports whether the time to an answer depends on the target alone. The
// time of a streamed request body also depends on its sender.
func latencyMeasurable(out *http.Request) bool {
	return out.ContentLength >= 0 && out.ContentLength <= maxBufferedBody
}
