package entry

import (
	"context"
	"errors"
	"net/http"

	"github.com/limpetdock/limpetdock/internal/headers"
	"github.com/limpetdock/limpetdock/internal/kind"
	"github.com/limpetdock/limpetdock/internal/pick"
)

// maxDeaths is how many backend servers a request may have died with before it
// is given up: after a first death it goes on to one more target, alone there.
const maxDeaths = 1

// maxTried bounds the targets one request is offered to, whatever they say.
const maxTried = 8

// free says whether a refusal leaves the request's hops as they were: nothing
// was asked of a backend server. A service of which half the backend servers have
// just died would otherwise refuse requests that the other half can serve.
func free(err *kind.Error) bool {
	switch err.Kind {
	case kind.Unreachable, kind.Leaving, kind.NotReady, kind.StaleConfig:
		return true
	}
	return false
}

// serveIdempotent offers a request to targets until one gives a whole answer.
func (e *Entry) serveIdempotent(ctx context.Context, w http.ResponseWriter, v *pick.View, x *request) *kind.Error {
	var tried []*pick.Target
	var last *kind.Error
	ran, deaths, hops := false, 0, 0
	for hops < x.hops && len(tried) < maxTried {
		t := e.choose(ctx, x, tried)
		if t == nil {
			break
		}
		tried = append(tried, t)
		if last != nil && errors.Is(last.Cause, errSilent) {
			// Whatever lost track of one connection has mostly lost those to the
			// targets beside it too. On a kept one the request would wait again
			// until that shows, and so use up its hops and its deadline.
			e.remote.Drop(t.Guard)
		}
		out, body := x.outgoing()
		out.Header.Set(headers.Exchange, e.exchangeID())
		resp, err := e.send(ctx, v, t, out)
		if err == nil {
			err = deliver(w, resp)
		}
		if err == nil {
			e.noteRun(x)
			return nil
		}
		last = err
		if !free(err) {
			hops++
		}
		if err.Death != 0 {
			deaths++
			e.noteDeath(x, err)
		}
		ran = ran || err.Said() != kind.NotRun
		if ctx.Err() != nil || x.stream && body.begun.Load() {
			break
		}
		if !again(err) || deaths > maxDeaths || !e.mayGoOn(x, err) {
			break
		}
		e.observer.Hopped(x.service.Name, err.Kind)
	}
	return conclude(last, ran)
}

// again says whether an idempotent request may go to another target after err.
func again(err *kind.Error) bool {
	switch err.Kind {
	case kind.OutcomeUnknown, kind.BackendDied, kind.BackendBroken:
		return true
	}
	row, _ := kind.AnswerOf(err.Kind)
	return row.Elsewhere
}

// conclude gives the final answer: the last trouble, weakened to unknown when
// any target may have run the request.
func conclude(last *kind.Error, ran bool) *kind.Error {
	if last == nil {
		return kind.New(kind.NoTarget, "no target can take the request")
	}
	if ran {
		last.Outcome = kind.Unknown
	}
	return last
}
