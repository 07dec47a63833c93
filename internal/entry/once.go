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
)

// serveOnce runs an at-most-once request. A ticket or a key of the caller's own
// names the one target that may run it; otherwise any may.
func (e *Entry) serveOnce(ctx context.Context, w http.ResponseWriter, v *pick.View, x *request) *kind.Error {
	// The run isn't tied to the caller's connection: a caller that goes away
	// may come back for the answer.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), x.timeout)
	defer cancel()
	switch {
	case x.ticket != nil:
		return e.serveTicket(ctx, w, v, x)
	case x.key != "":
		return e.serveKey(ctx, w, v, x)
	}
	return e.serveAnywhere(ctx, w, v, x)
}

// serveAnywhere offers a request to targets. It goes on to another one only on
// proof that the one before did not and will not run it.
func (e *Entry) serveAnywhere(ctx context.Context, w http.ResponseWriter, v *pick.View, x *request) *kind.Error {
	var tried []*pick.Target
	var last *kind.Error
	for range 2 * x.service.Hops {
		t := e.choose(ctx, x, tried)
		if t == nil {
			break
		}
		// Each offer has an id of its own, so the proof about one says nothing
		// of, and can't be spoilt by, another.
		body, err := e.offer(ctx, w, v, x, sent{target: t, id: uuid.NewString(), identity: identityOf(t)})
		if err == nil || err.Said() != kind.NotRun {
			return err
		}
		last = err
		if ctx.Err() != nil || x.stream && body.begun.Load() {
			break
		}
		if !err.MayMove(false) || !e.mayGoOn(x, err) {
			break
		}
		if err.Kind != kind.StaleAttempt {
			tried = append(tried, t)
		}
		e.observer.Hopped(x.service.Name, err.Kind)
	}
	return conclude(last, false)
}

// identityOf gives what is known of the guard; a zero one is refused, and the
// refusal tells the right one.
func identityOf(t *pick.Target) pick.Identity {
	if id := t.Stat.Identity(); id != nil {
		return *id
	}
	return pick.Identity{}
}

// offer makes one attempt at one target and sees it through: its answer is
// delivered, or its fate is known, or it is known that nobody can tell.
func (e *Entry) offer(ctx context.Context, w http.ResponseWriter, v *pick.View, x *request, s sent) (*sentBody, *kind.Error) {
	out, body := x.outgoing()
	out.Header.Set(headers.Attempt, s.id)
	out.Header.Set(headers.Incarnation, formatHex(s.identity.Incarnation))
	out.Header.Set(headers.Tick, formatUint(s.identity.Tick))
	resp, err := e.send(ctx, v, s.target, out)
	if err == nil {
		err = deliver(w, resp)
	}
	if err == nil {
		e.noteRun(x)
		return body, nil
	}
	e.noteDeath(x, err)
	if !open(err) {
		return body, err
	}
	if x.cut(body) {
		return body, kind.New(kind.BodyCut, "the request's body ended early; a part of it was sent").Because(err)
	}
	if s.identity == (pick.Identity{}) {
		// No process has this identity, so none has run the attempt.
		return body, kind.New(kind.StaleAttempt, "the target's identity isn't known yet").Because(err)
	}
	s.again = attempt.ClassOf(s.id) != attempt.Try && !(x.stream && body.begun.Load())
	return body, e.resolve(ctx, w, s)
}

func formatHex(n uint64) string  { return strconv.FormatUint(n, 16) }
func formatUint(n uint64) string { return strconv.FormatUint(n, 10) }

func incarnationOf(h http.Header) uint64 {
	// What can't be parsed stays 0, which is no incarnation.
	n, _ := strconv.ParseUint(h.Get(headers.Incarnation), 16, 64)
	return n
}
