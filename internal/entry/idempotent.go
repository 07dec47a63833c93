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

// maxDeaths is how many backend servers a request may have died with before it
// is given up: after a first death it goes on to one more target, alone there.
const maxDeaths = 1

// maxTried bounds the targets one request is offered to, whatever they say.
const maxTried = 8

// search is what became of the targets that one request was offered to so far.
type search struct {
	entry *Entry
	x     *request
	tried []*pick.Target
	// ran says that one of them may have run the request.
	ran          bool
	deaths, hops int
}

// note takes what went wrong at one of them.
func (s *search) note(err *kind.Error) {
	if err == nil {
		return
	}
	if !err.Free() {
		s.hops++
	}
	if err.Death != 0 {
		s.deaths++
		s.entry.noteDeath(s.x, err)
	}
	s.ran = s.ran || err.Said() != kind.NotRun
}

// serveIdempotent offers a request to targets until one gives a whole answer.
func (e *Entry) serveIdempotent(ctx context.Context, w http.ResponseWriter, v *pick.View, x *request) *kind.Error {
	s := search{entry: e, x: x}
	var last *kind.Error
	for s.hops < x.hops && len(s.tried) < maxTried {
		t := e.choose(ctx, x, s.tried)
		if t == nil {
			break
		}
		s.tried = append(s.tried, t)
		if last != nil && errors.Is(last.Cause, errSilent) {
			// Whatever lost track of one connection has mostly lost those to the
			// targets beside it too. On a kept one the request would wait again
			// until that shows, and so use up its hops and its deadline.
			e.remote.Drop(t.Guard)
		}
		r := e.offerRead(ctx, v, &s)
		if r.err == nil {
			r.err = r.deliver(w)
		}
		if r.err == nil {
			e.noteRun(x)
			return nil
		}
		last = r.err
		s.note(last)
		if ctx.Err() != nil || x.begun.Load() {
			break
		}
		if !last.MayMove(true) || s.deaths > maxDeaths || !e.mayGoOn(x, last) {
			break
		}
		e.observer.Hopped(x.service.Name, last.Kind)
	}
	return conclude(last, s.ran)
}

// offerRead offers a request to the target tried last, and to a second one if
// that takes long.
func (e *Entry) offerRead(ctx context.Context, v *pick.View, s *search) reply {
	x, t := s.x, s.tried[len(s.tried)-1]
	out, _ := x.outgoing()
	out.Header.Set(headers.Exchange, e.exchangeID())
	if !x.mayHedge() {
		return e.offerCopy(ctx, v, t, out, nil)
	}
	start := e.now()
	h := e.arm(ctx, v, x, s.tried)
	var lost *atomic.Bool
	if h != nil {
		lost = &h.firstLost
	}
	r := e.offerCopy(ctx, v, t, out, lost)
	x.account.Offered(r.refused())
	e.noteTime(x, r, e.now()-start)
	if h == nil {
		return r
	}
	return h.settle(r, s)
}

// offerCopy sends a request to a target and reads the answer if it is small.
func (e *Entry) offerCopy(ctx context.Context, v *pick.View, t *pick.Target, out *http.Request, lost *atomic.Bool) reply {
	resp, err := e.sendCopy(ctx, v, t, out, lost)
	if err != nil {
		return reply{err: err}
	}
	return hold(resp)
}

// noteTime takes how long a first copy took, by which later ones are called slow.
func (e *Entry) noteTime(x *request, r reply, took time.Duration) {
	switch {
	case r.good():
		x.service.Took(took)
	case r.err != nil && r.err.Said() != kind.NotRun:
		x.service.TookOver(took)
	}
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
