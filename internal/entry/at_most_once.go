package entry

import (
	"context"
	"net/http"
	"strconv"

	"github.com/google/uuid"

	"github.com/limpetdock/limpetdock/internal/attempt"
	"github.com/limpetdock/limpetdock/internal/headers"
	"github.com/limpetdock/limpetdock/internal/kind"
	"github.com/limpetdock/limpetdock/internal/pick"
	"github.com/limpetdock/limpetdock/internal/stopping"
)

// serveOnce runs an at-most-once request. A request with a ticket or a caller's key may run on
// one target only; any other may run on any target.
func (e *Entry) serveOnce(ctx context.Context, w http.ResponseWriter, v *pick.View, x *request) *kind.Error {
	// The run isn't cancelled with the caller's connection: a caller that disconnects may
	// reconnect to fetch the answer.
	ctx, release := stopping.WithoutCancel(ctx)
	defer release()
	ctx, cancel := context.WithTimeout(ctx, x.timeout)
	defer cancel()
	switch {
	case x.ticket != nil:
		return e.serveTicket(ctx, w, v, x)
	case x.key != "":
		return e.serveKey(ctx, w, v, x)
	}
	return e.serveAnywhere(ctx, w, v, x)
}

// serveAnywhere sends a request to targets. It moves on to another one only on proof that the
// one before did not and will not run it.
func (e *Entry) serveAnywhere(ctx context.Context, w http.ResponseWriter, v *pick.View, x *request) *kind.Error {
	var tried []*pick.Target
	var last, stale *kind.Error
	for range 2 * x.service.Hops {
		t := e.choose(ctx, x, tried)
		if t == nil {
			break
		}
		// Each attempt has its own id, so proof about one attempt doesn't apply to another and
		// can't be invalidated by it.
		body, err := e.runAttempt(ctx, w, v, x, sentAttempt{target: t, id: uuid.NewString(), identity: knownIdentity(t)})
		if err == nil || err.ReportedOutcome() != kind.NotRun {
			return err
		}
		last, stale = err, laterStale(stale, err)
		if ctx.Err() != nil || x.stream && body.bodyRead.Load() {
			break
		}
		if !err.MayTryOtherTarget(false) || !e.allowNextAttempt(x, err) {
			break
		}
		if err.Kind != kind.StaleAttempt {
			tried = append(tried, t)
		}
		e.observer.Hopped(x.service.Name, err.Kind)
	}
	return finalError(preferStale(stale, last), false)
}

// knownIdentity returns the guard's identity as far as it is known. An attempt with the zero
// identity is refused, and the refusal reports the current one.
func knownIdentity(t *pick.Target) pick.Identity {
	if id := t.Stat.Identity(); id != nil {
		return *id
	}
	return pick.Identity{}
}

// runAttempt makes one attempt at one target. It returns once the answer is delivered, the
// outcome is known, or it is certain that the outcome can't be determined.
func (e *Entry) runAttempt(ctx context.Context, w http.ResponseWriter, v *pick.View, x *request, s sentAttempt) (*sentBody, *kind.Error) {
	out, body := x.outgoing()
	out.Header.Set(headers.Attempt, s.id)
	out.Header.Set(headers.Incarnation, formatHex(s.identity.Incarnation))
	out.Header.Set(headers.Tick, formatUint(s.identity.Tick))
	resp, err := e.send(ctx, v, s.target, out)
	if err == nil {
		err = deliver(w, resp)
	}
	if err == nil {
		e.clearSuspect(x)
		return body, nil
	}
	e.reportDeath(x, err)
	if !outcomePending(err) {
		return body, err
	}
	if x.cut(body) {
		return body, kind.New(kind.BodyCut, "the request's body was truncated; a part of it was sent").WithCause(err)
	}
	if s.identity == (pick.Identity{}) {
		// No process has the zero identity, so none has run the attempt.
		return body, kind.New(kind.StaleAttempt, "the target's identity isn't known yet").WithCause(err)
	}
	s.repeatable = attempt.ClassOf(s.id) != attempt.SingleAttempt && !(x.stream && body.bodyRead.Load())
	return body, e.resolve(ctx, w, s)
}

func formatHex(n uint64) string  { return strconv.FormatUint(n, 16) }
func formatUint(n uint64) string { return strconv.FormatUint(n, 10) }

func incarnationOf(h http.Header) uint64 {
	// A value that can't be parsed yields 0, which is never a valid incarnation.
	n, _ := strconv.ParseUint(h.Get(headers.Incarnation), 16, 64)
	return n
}
