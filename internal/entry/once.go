package entry

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/google/uuid"

	"github.com/limpetdock/limpetdock/internal/headers"
	"github.com/limpetdock/limpetdock/internal/kind"
	"github.com/limpetdock/limpetdock/internal/pick"
	"github.com/limpetdock/limpetdock/internal/wire"
)

// serveOnce offers an at-most-once request to targets. It goes on to another
// one only on proof that the one before did not and will not run it.
func (e *Entry) serveOnce(ctx context.Context, w http.ResponseWriter, v *pick.View, x *request) *kind.Error {
	// The run isn't tied to the caller's connection: a caller that goes away
	// may come back for the answer.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), x.timeout)
	defer cancel()
	var tried []*pick.Target
	var last *kind.Error
	offers := 0
	for offers < 2*x.service.Hops {
		t := e.choose(ctx, x, tried)
		if t == nil {
			break
		}
		offers++
		resp, body, err := e.attemptAt(ctx, v, x, t)
		if err == nil {
			e.noteRun(x)
			return deliver(w, resp)
		}
		e.noteDeath(x, err)
		last = err
		if err.Said() != kind.NotRun {
			return err
		}
		if ctx.Err() != nil || x.stream && body.begun {
			break
		}
		row, _ := kind.AnswerOf(err.Kind)
		if !row.Elsewhere || !e.mayGoOn(x, err) {
			break
		}
		if err.Kind != kind.StaleAttempt {
			tried = append(tried, t)
		}
		e.observer.Hopped(x.service.Name, err.Kind)
	}
	return conclude(last, false)
}

// attemptAt makes one attempt at one target, and finds out its fate.
func (e *Entry) attemptAt(ctx context.Context, v *pick.View, x *request, t *pick.Target) (*http.Response, *sentBody, *kind.Error) {
	id := uuid.NewString()
	identity := t.Stat.Identity()
	if identity == nil {
		identity = &pick.Identity{}
	}
	out, body := x.outgoing()
	lowerKey(out.Header)
	out.Header.Set(headers.Attempt, id)
	out.Header.Set(headers.Incarnation, strconv.FormatUint(identity.Incarnation, 16))
	out.Header.Set(headers.Tick, strconv.FormatUint(identity.Tick, 10))
	resp, err := e.send(ctx, v, t, out)
	if err == nil || err.Said() == kind.NotRun {
		return resp, body, err
	}
	if err.Kind == kind.OutcomeUnknown {
		resp, err = e.resolve(ctx, v, t, id, identity.Incarnation)
	}
	return resp, body, err
}

// resolvePause is the pause between two tries to ask a guard.
const resolvePause = 50 * time.Millisecond

// resolve asks the attempt's own incarnation, over new connections, what became
// of it, until it is answered or the deadline passes.
func (e *Entry) resolve(ctx context.Context, v *pick.View, t *pick.Target, id string, incarnation uint64) (*http.Response, *kind.Error) {
	ask := &wire.Seal{Incarnation: incarnation, Attempt: id}
	for {
		reply, err := e.ask(ctx, v, t, ask)
		if err == nil {
			switch reply.State {
			case wire.AttemptSealed:
				return nil, kind.New(kind.Sealed, "the attempt was sealed before it ran")
			case wire.AttemptDone, wire.AttemptRunning:
				resp, err := e.collect(ctx, v, t, id)
				if err == nil || err.Kind != kind.OutcomeUnknown {
					return resp, err
				}
			default:
				return nil, kind.New(kind.OutcomeUnknown, "the target can't tell what became of the request")
			}
		}
		select {
		case <-ctx.Done():
			return nil, kind.New(kind.OutcomeUnknown, "the target that may have run the request can't be asked")
		case <-time.After(resolvePause):
		}
	}
}

func (e *Entry) ask(ctx context.Context, v *pick.View, t *pick.Target, ask *wire.Seal) (*wire.Sealed, error) {
	if v.Local(t) {
		return e.seal(ask), nil
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	m, err := e.peers.CallNew(ctx, t.Control, ask)
	if err != nil {
		return nil, err
	}
	reply, ok := m.(*wire.Sealed)
	if !ok {
		return nil, kind.New(kind.OutcomeUnknown, "the target answered something else")
	}
	return reply, nil
}

// collect gets the kept answer of an attempt.
func (e *Entry) collect(ctx context.Context, v *pick.View, t *pick.Target, id string) (*http.Response, *kind.Error) {
	out, err := http.NewRequest(http.MethodGet, "http://"+t.Guard+"/", nil)
	if err != nil {
		return nil, kind.From(err)
	}
	out.Header.Set(headers.Collect, id)
	return e.send(ctx, v, t, out)
}
