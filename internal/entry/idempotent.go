package entry

import (
	"context"
	"errors"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/limpetdock/limpetdock/internal/headers"
	"github.com/limpetdock/limpetdock/internal/kind"
	"github.com/limpetdock/limpetdock/internal/pick"
)

// maxDeaths is after how many deaths of backend servers a request is still retried: after a
// first death it is sent to one more target, where it runs alone.
const maxDeaths = 1

// crashesTooOften reports whether too many backend servers have died with the request in flight for
// another attempt. One on trial isn't sent again.
func (s *attemptState) crashesTooOften() bool {
	return s.deaths > maxDeaths || s.deaths > 0 && s.x.onTrial
}

// maxTried bounds the targets to which one request is sent, whatever they answer.
const maxTried = 8

// attemptState records the attempts of one request so far.
type attemptState struct {
	entry *Entry
	x     *request
	tried []*pick.Target
	// mayHaveRun is true if one of the targets may have run the request.
	mayHaveRun   bool
	deaths, hops int
	// stale is the last refusal by a target with another configuration.
	stale *kind.Error
}

// recordError records the error of one attempt.
func (s *attemptState) recordError(err *kind.Error) {
	if err == nil {
		return
	}
	if !err.RetryIsUncounted() {
		s.hops++
	}
	if err.Death != 0 && !err.DeathUncertain {
		s.deaths++
	}
	s.entry.reportDeath(s.x, err)
	s.mayHaveRun = s.mayHaveRun || err.ReportedOutcome() != kind.NotRun
	s.stale = laterStale(s.stale, err)
}

// laterStale returns err if it is a refusal by a target with another configuration, and stale
// otherwise.
func laterStale(stale, err *kind.Error) *kind.Error {
	if err.Kind == kind.StaleConfig {
		return err
	}
	return stale
}

// preferStale returns the error to report: a refusal by a target with another configuration goes
// before the last one, as that target may run the request under the newer configuration.
func preferStale(stale, last *kind.Error) *kind.Error {
	if stale == nil || last.ReportedOutcome() != kind.NotRun {
		return last
	}
	return stale
}

// serveIdempotent sends a request to targets until one returns a complete answer.
func (e *Entry) serveIdempotent(ctx context.Context, w http.ResponseWriter, v *pick.View, x *request) *kind.Error {
	s := attemptState{entry: e, x: x}
	var last *kind.Error
	for s.hops < x.hops && len(s.tried) < maxTried {
		t := e.choose(ctx, x, s.tried)
		if t == nil {
			break
		}
		s.tried = append(s.tried, t)
		if last != nil && errors.Is(last.Cause, errUnresponsive) {
			// A fault that made one connection unresponsive usually affects those to nearby
			// targets too. On an existing connection the request would wait until that is
			// detected, and use up its hops and its deadline.
			e.remote.Drop(t.Guard)
		}
		r := e.attemptIdempotent(ctx, v, &s)
		if r.err == nil {
			r.err = r.deliver(w)
		}
		if r.err == nil {
			e.clearSuspect(x)
			return nil
		}
		last = r.err
		s.recordError(last)
		if ctx.Err() != nil || x.bodyRead.Load() {
			break
		}
		if !last.MayTryOtherTarget(true) || s.crashesTooOften() || !e.allowNextAttempt(x, last) {
			break
		}
		e.observer.Hopped(x.service.Name, last.Kind)
	}
	return finalError(preferStale(s.stale, last), s.mayHaveRun)
}

// attemptIdempotent sends a request to the last target in s.tried, and to a second one if that
// takes long.
func (e *Entry) attemptIdempotent(ctx context.Context, v *pick.View, s *attemptState) reply {
	x, t := s.x, s.tried[len(s.tried)-1]
	out, _ := x.outgoing()
	out.Header.Set(headers.Exchange, e.exchangeID())
	if !x.mayHedge() {
		return e.sendAndBuffer(ctx, v, t, out, nil)
	}
	start := e.now()
	h := e.startHedgeTimer(ctx, v, x, s.tried)
	var lost *atomic.Bool
	if h != nil {
		lost = &h.firstCancelled
	}
	r := e.sendAndBuffer(ctx, v, t, out, lost)
	x.retryBudget.RecordAttempt(r.refused())
	e.recordLatency(x, r, e.now()-start)
	if h == nil {
		return r
	}
	return h.settle(r, s)
}

// sendAndBuffer sends a request to a target and buffers the answer if it is small.
func (e *Entry) sendAndBuffer(ctx context.Context, v *pick.View, t *pick.Target, out *http.Request, lost *atomic.Bool) reply {
	resp, err := e.sendCopy(ctx, v, t, out, lost)
	if err != nil {
		return reply{err: err}
	}
	return bufferSmall(resp)
}

// recordLatency records the latency of a first copy, from which the hedge delay of later
// requests is derived.
func (e *Entry) recordLatency(x *request, r reply, took time.Duration) {
	switch {
	case r.usable():
		x.service.RecordDuration(took)
	case r.err != nil && r.err.ReportedOutcome() != kind.NotRun:
		x.service.RecordCanceled(took)
	}
}

// finalError returns the error for the caller: the last one, with its outcome changed to
// unknown if any target may have run the request.
func finalError(last *kind.Error, ran bool) *kind.Error {
	if last == nil {
		return kind.New(kind.NoTarget, "no target can take the request")
	}
	if ran {
		last.Outcome = kind.Unknown
	}
	return last
}
