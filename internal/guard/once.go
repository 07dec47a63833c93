package guard

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/limpetdock/limpetdock/internal/attempt"
	"github.com/limpetdock/limpetdock/internal/headers"
	"github.com/limpetdock/limpetdock/internal/kind"
	"github.com/limpetdock/limpetdock/internal/wire"
)

// maxHeldBody is the largest request body that is read whole before anything
// reaches the backend server, so that a cut upload is known not to have run.
const maxHeldBody = 64 << 10

// runOnce runs an at-most-once attempt. Its run outlives the exchange that
// brought it: the entry may come back for the answer over another connection.
func (g *Guard) runOnce(_ context.Context, cancel context.CancelFunc, r *http.Request, id string) (*http.Response, *kind.Error) {
	deadline := time.Now().Add(timeLeft(r))
	cancel()
	incarnation, _ := strconv.ParseUint(r.Header.Get(headers.Incarnation), 16, 64)
	tick, _ := strconv.ParseUint(r.Header.Get(headers.Tick), 10, 64)
	if e := g.holdBody(r); e != nil {
		return nil, e
	}
	if e := g.begin(id, incarnation, tick); e != nil {
		return nil, e
	}
	ctx, cancel := context.WithDeadline(context.WithoutCancel(r.Context()), deadline)
	g.running.Add(1)
	type result struct {
		resp *http.Response
		e    *kind.Error
	}
	ended := make(chan result, 1)
	go func() {
		resp, e := g.runRecorded(ctx, r, id, sync.OnceFunc(func() {
			cancel()
			g.running.Done()
		}))
		ended <- result{resp, e}
	}()
	select {
	case res := <-ended:
		return res.resp, res.e
	case <-r.Context().Done():
		// The entry is gone; the run goes on and its answer is kept.
		go func() {
			if res := <-ended; res.resp != nil {
				_, _ = io.Copy(io.Discard, res.resp.Body)
				_ = res.resp.Body.Close()
			}
		}()
		return nil, kind.New(kind.OutcomeUnknown, "the entry has gone")
	}
}

func timeLeft(r *http.Request) time.Duration {
	ms, _ := strconv.ParseInt(r.Header.Get(headers.TimeoutMs), 10, 64)
	return time.Duration(ms) * time.Millisecond
}

func (g *Guard) begin(id string, incarnation, tick uint64) *kind.Error {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch g.attempts.Begin(id, incarnation, tick, g.now()) {
	case attempt.Stale:
		return kind.New(kind.StaleAttempt, "the attempt is for another incarnation or too old")
	case attempt.Known:
		return kind.New(kind.Sealed, "the attempt has a record already")
	case attempt.Full:
		return kind.New(kind.Overloaded, "no room for a record of the attempt")
	}
	return nil
}

// holdBody reads a small body whole. A long one is left to stream.
func (g *Guard) holdBody(r *http.Request) *kind.Error {
	if r.Body == nil || r.Body == http.NoBody || r.ContentLength < 0 || r.ContentLength > maxHeldBody {
		return nil
	}
	text, err := io.ReadAll(r.Body)
	if err != nil {
		e := kind.New(kind.BodyCut, "the request's body ended early").Because(err)
		e.Outcome = kind.NotRun
		return e
	}
	r.Body = io.NopCloser(bytes.NewReader(text))
	return nil
}

// runRecorded runs an attempt that has been recorded, and records its end.
// end is called once nothing of it runs any more.
func (g *Guard) runRecorded(ctx context.Context, r *http.Request, id string, end func()) (*http.Response, *kind.Error) {
	leave, e := g.enter(ctx, r)
	if e != nil {
		g.abort(id)
		end()
		return nil, e
	}
	// A process that was frozen between the record and here must not run stale work.
	if ctx.Err() != nil {
		g.abort(id)
		leave()
		end()
		return nil, kind.New(kind.DeadlineNotRun, "the deadline passed before the request could run")
	}
	done := func() {
		leave()
		end()
	}
	resp, err := g.forward(ctx, r)
	if err != nil {
		e := g.backendError(ctx, err)
		if e.Said() == kind.NotRun {
			g.abort(id)
		} else {
			g.finish(id, nil)
		}
		done()
		return nil, e
	}
	return g.keepAnswer(resp, id, done)
}

// keepAnswer keeps a small answer whole, so that it can be collected again.
func (g *Guard) keepAnswer(resp *http.Response, id string, done func()) (*http.Response, *kind.Error) {
	a, whole, err := answerOf(resp)
	if err != nil {
		_ = resp.Body.Close()
		g.finish(id, nil)
		done()
		return nil, kind.New(kind.BackendBroken, "the backend server broke off its answer").Because(err)
	}
	if whole {
		_ = resp.Body.Close()
		g.finish(id, a)
		done()
		resp.Body = io.NopCloser(bytes.NewReader(a.Body))
		return resp, nil
	}
	rest := resp.Body
	resp.Body = &endingBody{
		ReadCloser: struct {
			io.Reader
			io.Closer
		}{io.MultiReader(bytes.NewReader(a.Body), rest), rest},
		end: sync.OnceFunc(func() {
			g.finish(id, nil)
			done()
		}),
	}
	return resp, nil
}

func (g *Guard) abort(id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.attempts.Abort(id, g.now())
}

func (g *Guard) finish(id string, a *attempt.Answer) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.attempts.Finish(id, a, g.now())
}

// collect waits for an attempt's end and gives its kept answer.
func (g *Guard) collect(r *http.Request, id string) (*http.Response, *kind.Error) {
	state, answer, ended := g.look(id)
	if state == wire.AttemptRunning {
		ctx, cancel := context.WithTimeout(r.Context(), timeLeft(r))
		defer cancel()
		select {
		case <-ended:
			state, answer, _ = g.look(id)
		case <-ctx.Done():
			return nil, kind.New(kind.DeadlineUnknown, "the deadline passed while the request ran")
		}
	}
	switch state {
	case wire.AttemptDone:
		return &http.Response{
			StatusCode: answer.Status, Header: answer.Header.Clone(), ContentLength: int64(len(answer.Body)),
			Body: io.NopCloser(bytes.NewReader(answer.Body)), Request: r,
			Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		}, nil
	case wire.AttemptSealed:
		return nil, kind.New(kind.Sealed, "the attempt was sealed and will never run")
	case wire.AttemptLost:
		return nil, kind.New(kind.AnswerLost, "the request ran or may have; its answer isn't kept")
	}
	return nil, kind.New(kind.OutcomeUnknown, "no record of the attempt")
}

func (g *Guard) look(id string) (wire.AttemptState, *attempt.Answer, <-chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.attempts.Look(id)
}
