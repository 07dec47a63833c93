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

const (
	// dialTimeout bounds opening a connection to a guard.
	dialTimeout = time.Second
	// avoidFor is how long a target that couldn't be reached is passed over.
	avoidFor = time.Second
	// avoidDead is how long a target whose backend server is gone is passed over.
	avoidDead = 200 * time.Millisecond
)

func newTransport() *http.Transport {
	dialer := &net.Dialer{
		Timeout: dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: time.Second, Interval: time.Second, Count: 3,
		},
	}
	return &http.Transport{
		DialContext: dialer.DialContext, MaxIdleConnsPerHost: 32, IdleConnTimeout: time.Minute,
		DisableCompression: true, ExpectContinueTimeout: time.Hour,
		ReadBufferSize: 16 << 10, WriteBufferSize: 16 << 10,
	}
}

func cloneURL(r *http.Request) *url.URL {
	u := *r.URL
	u.Scheme = "http"
	return &u
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
	out.Header.Set(headers.Fleet, v.Config.Fleet())
	t.Stat.InFlight.Add(1)
	defer t.Stat.InFlight.Add(-1)
	resp, err := e.hop(v, t).RoundTrip(out)
	if err != nil {
		return nil, e.transportError(ctx, t, err)
	}
	refusal := kind.Read(resp)
	if refusal == nil {
		return resp, nil
	}
	learn(t, resp)
	if refusal.Kind == kind.Unreachable {
		// A guard beside a dead backend server refuses so fast that its target
		// looks idle; without this it would attract every request.
		t.Stat.Avoid(e.now() + avoidDead)
	}
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
	return e.remote
}

func (e *Entry) transportError(ctx context.Context, t *pick.Target, err error) *kind.Error {
	var op *net.OpError
	switch {
	case errors.As(err, &op) && op.Op == "dial":
		t.Stat.Avoid(e.now() + avoidFor)
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
