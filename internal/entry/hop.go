package entry

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/limpetdock/limpetdock/internal/headers"
	"github.com/limpetdock/limpetdock/internal/kind"
	"github.com/limpetdock/limpetdock/internal/pick"
)

func cloneURL(r *http.Request) *url.URL {
	u := *r.URL
	u.Scheme = "http"
	return &u
}

// choose chooses a target that wasn't tried, or returns nil.
func (e *Entry) choose(ctx context.Context, x *request, tried []*pick.Target) *pick.Target {
	x.ask.Draw = pick.Draw{Now: e.now(), Rand: pick.SharedRand}
	x.ask.Tried = tried
	if deadline, ok := ctx.Deadline(); ok {
		x.ask.Remaining = time.Until(deadline)
	}
	return x.service.Choose(&x.ask)
}

// send sends a request to a target and returns the backend server's answer or an error. If the
// error is nil, the caller must close the answer's body.
func (e *Entry) send(ctx context.Context, v *pick.View, t *pick.Target, out *http.Request) (*http.Response, *kind.Error) {
	return e.sendCopy(ctx, v, t, out, nil)
}

// sendCopy is like send. lost reports whether the copy was cancelled because another copy of
// the request was answered first; it may be nil.
func (e *Entry) sendCopy(ctx context.Context, v *pick.View, t *pick.Target, out *http.Request, lost *atomic.Bool) (*http.Response, *kind.Error) {
	if deadline, ok := ctx.Deadline(); ok {
		remaining := time.Until(deadline).Milliseconds()
		if remaining <= 0 {
			return nil, kind.New(kind.DeadlineNotRun, "the deadline passed before the request was sent")
		}
		out.Header.Set(headers.TimeoutMs, strconv.FormatInt(remaining, 10))
	}
	out.URL.Host = t.Guard
	out.Header.Set(headers.Fleet, v.Config.Fleet())
	m := t.Begin(e.now(), latencyMeasurable(out))
	resp, failed := e.exchangeAndRecord(ctx, v, t, m, out)
	outcome := targetOutcome(ctx, resp, failed)
	if outcome == pick.Neutral && lost != nil && lost.Load() {
		outcome = pick.Superseded
	}
	t.RecordOutcome(m, e.now(), outcome, pick.SharedRand)
	if failed != nil {
		t.End()
		return nil, failed
	}
	resp.Body = &inFlightBody{ReadCloser: resp.Body, target: t}
	return resp, nil
}

// exchangeAndRecord sends the request and records what the answer reports about the target. A
// refusal of the guard is returned as an error.
func (e *Entry) exchangeAndRecord(ctx context.Context, v *pick.View, t *pick.Target, m pick.Attempt, out *http.Request) (*http.Response, *kind.Error) {
	resp, failed := e.exchange(ctx, v, t, out)
	if failed != nil {
		return nil, failed
	}
	if v.Local(t) {
		e.recordLocalLoad(t)
	} else {
		e.recordLoad(t, m, resp.Header)
	}
	refusal := kind.Read(resp)
	if refusal == nil {
		return resp, nil
	}
	recordIdentity(t, resp)
	if f := e.onStaleConfig.Load(); f != nil && refusal.Kind == kind.StaleConfig {
		(*f)(t.Place.VM)
	}
	_ = resp.Body.Close()
	return nil, refusal
}

// exchange sends the request and returns any answer, also a refusal.
func (e *Entry) exchange(ctx context.Context, v *pick.View, t *pick.Target, out *http.Request) (*http.Response, *kind.Error) {
	if v.Local(t) {
		resp, err := e.local.RoundTrip(out.WithContext(ctx))
		if err != nil {
			return nil, kind.From(err)
		}
		return resp, nil
	}
	w := e.watch(ctx, t, out)
	out = out.WithContext(w.ctx)
	out.Body = w.wrapRequestBody(out.Body)
	headers.DisableReplay(out)
	resp, err := e.remote.RoundTrip(out)
	if err != nil {
		defer w.stop()
		return nil, e.transportError(w, err)
	}
	resp.Body = w.wrapAnswerBody(resp.Body)
	if got := resp.Header.Get(headers.Exchange); got != w.query.Attempt {
		// This is the answer to another request. The connection is closed without reading the
		// rest.
		_ = resp.Body.Close()
		e.remote.Drop(t.Guard)
		return nil, kind.New(kind.OutcomeUnknown, "the target sent the answer to another request")
	}
	return resp, nil
}

func (e *Entry) transportError(w *watch, err error) *kind.Error {
	var op *net.OpError
	switch {
	case errors.As(err, &op) && op.Op == "dial":
		return kind.New(kind.Unreachable, "the target can't be reached").WithCause(err)
	case w.unresponsive():
		return kind.New(kind.OutcomeUnknown, "the connection to the target is unresponsive").WithCause(errUnresponsive)
	case errors.Is(w.ctx.Err(), context.DeadlineExceeded):
		return kind.New(kind.DeadlineUnknown, "the deadline passed before an answer came").WithCause(err)
	}
	return kind.New(kind.OutcomeUnknown, "the exchange with the target was interrupted").WithCause(err)
}

// recordIdentity records the identity that a guard reports with its refusals.
func recordIdentity(t *pick.Target, resp *http.Response) {
	incarnation, err := strconv.ParseUint(resp.Header.Get(headers.Incarnation), 16, 64)
	if err != nil {
		return
	}
	tick, err := strconv.ParseUint(resp.Header.Get(headers.Tick), 10, 64)
	if err != nil {
		return
	}
	t.Stat.UpdateIdentity(pick.Identity{Incarnation: incarnation, Tick: tick})
}
