package entry

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
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
	out = out.WithContext(ctx)
	if deadline, ok := ctx.Deadline(); ok {
		left := time.Until(deadline).Milliseconds()
		if left <= 0 {
			return nil, kind.New(kind.DeadlineNotRun, "the deadline passed before the request was sent")
		}
		out.Header.Set(headers.TimeoutMs, strconv.FormatInt(left, 10))
	}
	out.URL.Host = t.Guard
	m := t.Begin(e.now(), timed(out))
	resp, refusal := e.exchange(ctx, v, t, m, out)
	t.Headers(m, e.now(), outcomeOf(ctx, resp, refusal), pick.SharedRand)
	if refusal != nil {
		t.End()
		return nil, refusal
	}
	resp.Body = &countedBody{ReadCloser: resp.Body, target: t}
	return resp, nil
}

// exchange makes the hop and learns from what comes back.
func (e *Entry) exchange(ctx context.Context, v *pick.View, t *pick.Target, m pick.Mark, out *http.Request) (*http.Response, *kind.Error) {
	resp, err := e.hop(v, t).RoundTrip(out)
	if err != nil {
		return nil, e.transportError(ctx, err)
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

func (e *Entry) hop(v *pick.View, t *pick.Target) http.RoundTripper {
	if v.Local(t) {
		return e.local
	}
	return e.remote.now.Load()
}

func (e *Entry) transportError(ctx context.Context, err error) *kind.Error {
	var op *net.OpError
	switch {
	case errors.As(err, &op) && op.Op == "dial":
		return kind.New(kind.Unreachable, "the target can't be reached").Because(err)
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
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

// lowerKey spells the idempotency key so that net/http's transport doesn't
// take it for leave to send the request again by itself.
func lowerKey(h http.Header) {
	if values, ok := h[headers.IdempotencyKey]; ok {
		delete(h, headers.IdempotencyKey)
		h[strings.ToLower(headers.IdempotencyKey)] = values
	}
}
