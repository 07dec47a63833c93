package entry

import (
	"context"
	"net/http"

	"github.com/limpetdock/limpetdock/internal/headers"
	"github.com/limpetdock/limpetdock/internal/kind"
	"github.com/limpetdock/limpetdock/internal/pick"
)

// serveIdempotent offers a request to targets until one gives a whole answer.
func (e *Entry) serveIdempotent(ctx context.Context, w http.ResponseWriter, v *pick.View, x *request) *kind.Error {
	var tried []*pick.Target
	var last *kind.Error
	ran := false
	for len(tried) < x.service.Hops {
		t := x.service.Pick(e.now(), tried)
		if t == nil {
			break
		}
		tried = append(tried, t)
		out, body := x.outgoing()
		out.Header.Set(headers.Exchange, e.exchangeID())
		resp, err := e.send(ctx, v, t, out)
		if err == nil {
			err = deliver(w, resp)
		}
		if err == nil {
			return nil
		}
		last = err
		ran = ran || err.Said() != kind.NotRun
		if ctx.Err() != nil || x.stream && body.begun.Load() {
			break
		}
		if !again(err) {
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
