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

// choose chooses a target that wasn't tried, or nil.
func (e *Entry) choose(ctx context.Context, x *request, tried []*pick.Target) *pick.Target {
	x.ask.Draw = pick.Draw{Now: e.now(), Rand: pick.SharedRand}
	x.ask.Tried = tried
	if deadline, ok := ctx.Deadline(); ok {
		x.ask.Left = time.Until(deadline)
	}
	return x.service.Choose(&x.ask)
}

// send offers a request to a target and gives the backend server's answer, or
// the kind of trouble. A nil error comes with an answer whose body must be closed.
func (e *Entry) send(ctx context.Context, v *pick.View, t *pick.Target, out *http.Request) (*http.Response, *kind.Error) {
	return e.sendCopy(ctx, v, t, out, nil)
}

// sendCopy does as send. lost says that it was cancelled because another copy
// of the request was answered first; nil is never.
func (e *Entry) sendCopy(ctx context.Context, v *pick.View, t *pick.Target, out *http.Request, lost *atomic.Bool) (*http.Response, *kind.Error) {
	if deadline, ok := ctx.Deadline(); ok {
		left := time.Until(deadline).Milliseconds()
		if left <= 0 {
			return nil, kind.New(kind.DeadlineNotRun, "the deadline passed before the request was sent")
		}
		out.Header.Set(headers.TimeoutMs, strconv.FormatInt(left, 10))
	}
	out.URL.Host = t.Guard
	out.Header.Set(headers.Fleet, v.Config.Fleet())
	m := t.Begin(e.now(), timed(out))
	resp, failed := e.offered(ctx, v, t, m, out)
	outcome := outcomeOf(ctx, resp, failed)
	if outcome == pick.Neutral && lost != nil && lost.Load() {
		outcome = pick.Outrun
	}
	t.Headers(m, e.now(), outcome, pick.SharedRand)
	if failed != nil {
		t.End()
		return nil, failed
	}
	resp.Body = &countedBody{ReadCloser: resp.Body, target: t}
	return resp, nil
}

// offered makes the exchange and learns from what comes back. A refusal of the
// guard is an error.
func (e *Entry) offered(ctx context.Context, v *pick.View, t *pick.Target, m pick.Mark, out *http.Request) (*http.Response, *kind.Error) {
	resp, failed := e.exchange(ctx, v, t, out)
	if failed != nil {
		return nil, failed
	}
	if v.Local(t) {
		e.learnLocal(t)
	} else {
		e.learnLoad(t, m, resp.Header)
	}
	refusal := kind.Read(resp)
	if refusal == nil {
		return resp, nil
	}
	learn(t, resp)
	if f := e.behind.Load(); f != nil && refusal.Kind == kind.StaleConfig {
		(*f)(t.Place.VM)
	}
	_ = resp.Body.Close()
	return nil, refusal
}

// exchange sends the request and gives whatever answer comes.
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
	out.Body = w.request(out.Body)
	headers.Unreplayable(out)
	resp, err := e.remote.RoundTrip(out)
	if err != nil {
		defer w.stop()
		return nil, e.transportError(w, err)
	}
	resp.Body = w.answer(resp.Body)
	if got := resp.Header.Get(headers.Exchange); got != w.ask.Attempt {
		// Another request's answer. The connection is closed with its rest unread.
		_ = resp.Body.Close()
		e.remote.Drop(t.Guard)
		return nil, kind.New(kind.OutcomeUnknown, "the target answered another request")
	}
	return resp, nil
}

func (e *Entry) transportError(w *watch, err error) *kind.Error {
	var op *net.OpError
	switch {
	case errors.As(err, &op) && op.Op == "dial":
		return kind.New(kind.Unreachable, "the target can't be reached").Because(err)
	case w.silent():
		return kind.New(kind.OutcomeUnknown, "the connection to the target went silent").Because(errSilent)
	case errors.Is(w.ctx.Err(), context.DeadlineExceeded):
		return kind.New(kind.DeadlineUnknown, "the deadline passed before an answer came").Because(err)
	}
	return kind.New(kind.OutcomeUnknown, "the exchange with the target broke off").Because(err)
}

// learn keeps the identity that a guard tells with its refusals.
func learn(t *pick.Target, resp *http.Response) {
	incarnation, err := strconv.ParseUint(resp.Header.Get(headers.Incarnation), 16, 64)
	if err != nil {
		return
	}
	tick, err := strconv.ParseUint(resp.Header.Get(headers.Tick), 10, 64)
	if err != nil {
		return
	}
	t.Stat.Learn(pick.Identity{Incarnation: incarnation, Tick: tick})
}
