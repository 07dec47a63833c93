package guard

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/limpetdock/limpetdock/internal/attempt"
	"github.com/limpetdock/limpetdock/internal/headers"
	"github.com/limpetdock/limpetdock/internal/kind"
	"github.com/limpetdock/limpetdock/internal/stopping"
	"github.com/limpetdock/limpetdock/internal/wire"
)

// maxBufferedBody is the largest request body that is read completely before anything
// is sent to the backend server, so that a truncated upload is known not to have run.
const maxBufferedBody = 64 << 10

// runOnce runs an at-most-once attempt, or joins the run already recorded under its
// id.
func (g *Guard) runOnce(r *http.Request, id string) (*http.Response, *kind.Error) {
	// The deadline is computed before the body is read: the body may arrive slowly, or
	// the process may be paused meanwhile.
	deadline := time.Now().Add(remainingTime(r))
	c := claimOf(r, id)
	body, e := bufferBody(r)
	if e != nil {
		return nil, e
	}
	c.Fingerprint = fingerprint(r, body)
	if v, wait := g.check(c); v != attempt.Start {
		return g.answerCopy(r, c, v, wait)
	}
	visit, e := g.acquireRecorded(r, c)
	if e != nil {
		return g.refuse(r, c, e)
	}
	if stopping.Ended(r.Context()) {
		visit.leave()
		return g.refuse(r, c, refusalAtStop(r.Context(), errDeadlineInQueue()))
	}
	// The attempt is recorded only once it has a slot: an attempt that is refused or
	// still waits needs no record and can be sealed.
	if v, wait := g.begin(c); v != attempt.Start {
		visit.leave()
		return g.answerCopy(r, c, v, wait)
	}
	return g.detach(r, c, deadline, visit)
}

func claimOf(r *http.Request, id string) attempt.Claim {
	c := attempt.Claim{ID: id}
	// A value that can't be parsed stays 0, which is never an incarnation.
	c.Incarnation, _ = strconv.ParseUint(r.Header.Get(headers.Incarnation), 16, 64)
	c.Tick, _ = strconv.ParseUint(r.Header.Get(headers.Tick), 10, 64)
	return c
}

func remainingTime(r *http.Request) time.Duration {
	ms, _ := strconv.ParseInt(r.Header.Get(headers.TimeoutMs), 10, 64)
	return time.Duration(ms) * time.Millisecond
}

// bufferBody reads a small body completely. It returns nil for a longer body or one
// without a length, which is streamed.
func bufferBody(r *http.Request) ([]byte, *kind.Error) {
	if r.Body == nil || r.Body == http.NoBody {
		return []byte{}, nil
	}
	if r.ContentLength < 0 || r.ContentLength > maxBufferedBody {
		return nil, nil
	}
	text, err := io.ReadAll(r.Body)
	if err != nil {
		e := kind.New(kind.BodyCut, "the request's body was cut off before its declared length").WithCause(err)
		e.Outcome = copyOutcome(attempt.ClassOf(r.Header.Get(headers.Attempt)))
		return nil, refusalAtStop(r.Context(), e)
	}
	r.Body = io.NopCloser(bytes.NewReader(text))
	return text, nil
}

// fingerprint returns a hash of the method, the target, the body's length and the body
// if it was buffered. It distinguishes requests under one ticket or key.
func fingerprint(r *http.Request, body []byte) uint64 {
	h := xxhash.New()
	for _, part := range []string{r.Method, r.URL.RequestURI(), strconv.FormatInt(r.ContentLength, 10)} {
		_, _ = h.WriteString(part)
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(body)
	return h.Sum64()
}

// acquireRecorded checks whether the guard accepts the request and waits for a slot.
// While it waits, the attempt can be sealed.
func (g *Guard) acquireRecorded(r *http.Request, c attempt.Claim) (execution, *kind.Error) {
	a, e := g.admit(r)
	if e != nil {
		return execution{}, e
	}
	defer a.cancel()
	g.addPresent(c.ID)
	defer g.removePresent(c.ID)
	return g.acquire(a, r)
}

type result struct {
	resp *http.Response
	e    *kind.Error
}

// detach runs a recorded attempt. The run continues if the exchange that started it
// breaks: the entry may collect the answer over another connection.
func (g *Guard) detach(r *http.Request, c attempt.Claim, deadline time.Time, v execution) (*http.Response, *kind.Error) {
	ctx, cancel := context.WithDeadline(context.WithoutCancel(r.Context()), deadline)
	end := sync.OnceFunc(func() {
		cancel()
		v.leave()
	})
	body := &watchedBody{ReadCloser: r.Body}
	if r.Body != nil && r.Body != http.NoBody {
		r.Body = body
	}
	ended := make(chan result, 1)
	go func() {
		resp, e := g.runRecorded(ctx, r, c.ID, newPermit(r, deadline), v, body, end)
		ended <- result{resp, e}
	}()
	select {
	case res := <-ended:
		return res.resp, res.e
	case <-r.Context().Done():
		go discard(ended)
		return nil, kind.New(kind.OutcomeUnknown, "the entry closed or cancelled the exchange while the request ran")
	}
}

// maxDiscarded bounds what is read of an answer that nobody waits for, in bytes.
const maxDiscarded = 16 << 20

// discard drains an answer that nobody waits for.
func discard(ended <-chan result) {
	res := <-ended
	if res.resp == nil {
		return
	}
	_, _ = io.Copy(io.Discard, io.LimitReader(res.resp.Body, maxDiscarded))
	_ = res.resp.Body.Close()
}

// runRecorded forwards a recorded attempt to the backend server and records its
// outcome. end is called once nothing of the attempt is running.
func (g *Guard) runRecorded(ctx context.Context, r *http.Request, id string, p *permit, v execution, body *watchedBody, end func()) (*http.Response, *kind.Error) {
	resp, err := g.forward(withPermit(ctx, p), r)
	if err == nil {
		return g.storeAnswer(resp, id, end)
	}
	defer end()
	if p.revoke() {
		g.abort(id)
		return nil, notSent(p.deadline, err)
	}
	g.finish(id, nil)
	if body.failed.Load() && ctx.Err() == nil {
		return nil, kind.New(kind.BodyCut, "the request's body was cut off after its start had been sent to the backend server").WithCause(err)
	}
	return nil, g.backendError(ctx, p, v, err)
}

// notSent returns the error for a request of which no byte was sent to the backend
// server.
func notSent(deadline time.Time, err error) *kind.Error {
	if passed(deadline, time.Now()) || errors.Is(err, errRevoked) {
		return kind.New(kind.DeadlineNotRun, "the deadline passed before the request could run").WithCause(err)
	}
	return kind.New(kind.Unreachable, "the backend server can't be reached").WithCause(err)
}

// storeAnswer stores a small answer completely, so that it can be collected again.
func (g *Guard) storeAnswer(resp *http.Response, id string, end func()) (*http.Response, *kind.Error) {
	a, whole, err := answerOf(resp)
	if err != nil {
		_ = resp.Body.Close()
		g.finish(id, nil)
		end()
		return nil, kind.New(kind.BackendBroken, "the backend server closed the connection during its answer").WithCause(err)
	}
	if whole {
		_ = resp.Body.Close()
		g.finish(id, a)
		end()
		return answerFrom(a), nil
	}
	rest := resp.Body
	resp.Body = &endingBody{
		ReadCloser: struct {
			io.Reader
			io.Closer
		}{io.MultiReader(bytes.NewReader(a.Body), rest), rest},
		end: sync.OnceFunc(func() {
			g.finish(id, nil)
			end()
		}),
	}
	return resp, nil
}

// answerFrom returns a response with a stored answer. Its Content-Length is the
// counted length, so that a truncation between nodes is detected.
func answerFrom(a *attempt.Answer) *http.Response {
	header := a.Header.Clone()
	header.Set("Content-Length", strconv.Itoa(len(a.Body)))
	return &http.Response{
		StatusCode: a.Status, Header: header, ContentLength: int64(len(a.Body)),
		Body:  io.NopCloser(bytes.NewReader(a.Body)),
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
	}
}

// collect returns the stored answer of an attempt of this incarnation.
func (g *Guard) collect(r *http.Request, id string) (*http.Response, *kind.Error) {
	if claimOf(r, id).Incarnation != g.incarnation {
		return nil, kind.New(kind.OutcomeUnknown, "the attempt belongs to another incarnation")
	}
	return g.join(r, id)
}

// join waits for the end of an attempt and returns its stored answer.
func (g *Guard) join(r *http.Request, id string) (*http.Response, *kind.Error) {
	state, answer, ended := g.lookup(id)
	if state == wire.AttemptRunning {
		ctx, cancel := context.WithTimeout(r.Context(), remainingTime(r))
		defer cancel()
		select {
		case <-ended:
			state, answer, _ = g.lookup(id)
		case <-ctx.Done():
			if stopping.Ended(ctx) {
				return nil, kind.New(kind.OutcomeUnknown, "the node stopped while the request ran")
			}
			return nil, kind.New(kind.DeadlineUnknown, "the deadline passed while the request ran")
		}
	}
	switch state {
	case wire.AttemptDone:
		g.Counters.Redelivered.Add(1)
		return answerFrom(answer), nil
	case wire.AttemptSealed:
		return nil, sealedError(id)
	case wire.AttemptLost:
		return nil, kind.New(kind.AnswerLost, "the request ran or may have run; its answer isn't stored")
	}
	return nil, kind.New(kind.OutcomeUnknown, "the guard has no record of the attempt")
}
