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
	"github.com/limpetdock/limpetdock/internal/wire"
)

// maxHeldBody is the largest request body that is read whole before anything
// reaches the backend server, so that a cut upload is known not to have run.
const maxHeldBody = 64 << 10

// runOnce runs an at-most-once attempt, or joins the run that its id has had.
func (g *Guard) runOnce(r *http.Request, id string) (*http.Response, *kind.Error) {
	// The body may take its time, or the process be paused while it comes.
	deadline := time.Now().Add(timeLeft(r))
	c := claimOf(r, id)
	body, e := holdBody(r)
	if e != nil {
		return nil, e
	}
	c.Fingerprint = fingerprint(r, body)
	if v, wait := g.check(c); v != attempt.Start {
		return g.settle(r, c, v, wait)
	}
	visit, e := g.enterRecorded(r, c)
	if e != nil {
		return g.refuse(r, c, e)
	}
	// Recorded only now that it has a slot: what is refused or still waits
	// takes no room in the table and can be sealed.
	if v, wait := g.begin(c); v != attempt.Start {
		visit.leave()
		return g.settle(r, c, v, wait)
	}
	return g.detach(r, c, deadline, visit)
}

func claimOf(r *http.Request, id string) attempt.Claim {
	c := attempt.Claim{ID: id}
	// What can't be parsed stays 0, which is no incarnation.
	c.Incarnation, _ = strconv.ParseUint(r.Header.Get(headers.Incarnation), 16, 64)
	c.Tick, _ = strconv.ParseUint(r.Header.Get(headers.Tick), 10, 64)
	return c
}

func timeLeft(r *http.Request) time.Duration {
	ms, _ := strconv.ParseInt(r.Header.Get(headers.TimeoutMs), 10, 64)
	return time.Duration(ms) * time.Millisecond
}

// holdBody reads a small body whole. A long one, or one without a length, is
// left to stream, and nil is returned for it.
func holdBody(r *http.Request) ([]byte, *kind.Error) {
	if r.Body == nil || r.Body == http.NoBody {
		return []byte{}, nil
	}
	if r.ContentLength < 0 || r.ContentLength > maxHeldBody {
		return nil, nil
	}
	text, err := io.ReadAll(r.Body)
	if err != nil {
		e := kind.New(kind.BodyCut, "the request's body ended early").Because(err)
		e.Outcome = notRunUnless(attempt.ClassOf(r.Header.Get(headers.Attempt)))
		return nil, e
	}
	r.Body = io.NopCloser(bytes.NewReader(text))
	return text, nil
}

// fingerprint tells requests apart by method, target and, where it was held, body.
func fingerprint(r *http.Request, body []byte) uint64 {
	h := xxhash.New()
	for _, part := range []string{r.Method, r.URL.RequestURI(), strconv.FormatInt(r.ContentLength, 10)} {
		_, _ = h.WriteString(part)
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(body)
	return h.Sum64()
}

// enterRecorded checks whether the guard takes work and waits for a slot. While it
// waits, the attempt can be sealed.
func (g *Guard) enterRecorded(r *http.Request, c attempt.Claim) (visit, *kind.Error) {
	a, e := g.admit(r)
	if e != nil {
		return visit{}, e
	}
	defer a.cancel()
	g.arrive(c.ID)
	defer g.depart(c.ID)
	return g.enter(a, r)
}

type result struct {
	resp *http.Response
	e    *kind.Error
}

// detach runs a recorded attempt. The run outlives the exchange that brought
// it: the entry may come back for the answer over another connection.
func (g *Guard) detach(r *http.Request, c attempt.Claim, deadline time.Time, v visit) (*http.Response, *kind.Error) {
	ctx, cancel := context.WithDeadline(context.WithoutCancel(r.Context()), deadline)
	g.running.Add(1)
	end := sync.OnceFunc(func() {
		cancel()
		v.leave()
		g.running.Done()
	})
	body := &watchedBody{ReadCloser: r.Body}
	if r.Body != nil && r.Body != http.NoBody {
		r.Body = body
	}
	ended := make(chan result, 1)
	go func() {
		resp, e := g.runRecorded(ctx, r, c.ID, &permit{deadline: deadline}, v, body, end)
		ended <- result{resp, e}
	}()
	select {
	case res := <-ended:
		return res.resp, res.e
	case <-r.Context().Done():
		go discard(ended)
		return nil, kind.New(kind.OutcomeUnknown, "the entry has gone")
	}
}

// discard reads an answer that nobody waits for any more to its end.
func discard(ended <-chan result) {
	res := <-ended
	if res.resp == nil {
		return
	}
	_, _ = io.Copy(io.Discard, res.resp.Body)
	_ = res.resp.Body.Close()
}

// runRecorded hands a recorded attempt to the backend server and records its
// end. end is called once nothing of it runs any more.
func (g *Guard) runRecorded(ctx context.Context, r *http.Request, id string, p *permit, v visit, body *watchedBody, end func()) (*http.Response, *kind.Error) {
	resp, err := g.forward(withPermit(ctx, p), r)
	if err == nil {
		return g.keepAnswer(resp, id, end)
	}
	defer end()
	if p.revoke() {
		g.abort(id)
		return nil, notSent(p.deadline, err)
	}
	g.finish(id, nil)
	if body.failed.Load() && ctx.Err() == nil {
		return nil, kind.New(kind.BodyCut, "the request's body ended early, after the backend server had its start").Because(err)
	}
	return nil, g.backendError(ctx, p, v, err)
}

// notSent tells why no byte went to the backend server.
func notSent(deadline time.Time, err error) *kind.Error {
	if passed(deadline, time.Now()) || errors.Is(err, errRevoked) {
		return kind.New(kind.DeadlineNotRun, "the deadline passed before the request could run").Because(err)
	}
	return kind.New(kind.Unreachable, "the backend server can't be reached").Because(err)
}

// keepAnswer keeps a small answer whole, so that it can be collected again.
func (g *Guard) keepAnswer(resp *http.Response, id string, end func()) (*http.Response, *kind.Error) {
	a, whole, err := answerOf(resp)
	if err != nil {
		_ = resp.Body.Close()
		g.finish(id, nil)
		end()
		return nil, kind.New(kind.BackendBroken, "the backend server broke off its answer").Because(err)
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

// answerFrom makes an answer out of a kept one. Its length is the one that was
// counted, so a cut between nodes is seen.
func answerFrom(a *attempt.Answer) *http.Response {
	header := a.Header.Clone()
	header.Set("Content-Length", strconv.Itoa(len(a.Body)))
	return &http.Response{
		StatusCode: a.Status, Header: header, ContentLength: int64(len(a.Body)),
		Body:  io.NopCloser(bytes.NewReader(a.Body)),
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
	}
}

// collect gives the kept answer of an attempt of this incarnation.
func (g *Guard) collect(r *http.Request, id string) (*http.Response, *kind.Error) {
	if claimOf(r, id).Incarnation != g.incarnation {
		return nil, kind.New(kind.OutcomeUnknown, "the attempt belongs to another incarnation")
	}
	return g.join(r, id)
}

// join waits for an attempt's end and gives its kept answer.
func (g *Guard) join(r *http.Request, id string) (*http.Response, *kind.Error) {
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
		g.Counters.Redelivered.Add(1)
		return answerFrom(answer), nil
	case wire.AttemptSealed:
		return nil, sealedError(id)
	case wire.AttemptLost:
		return nil, kind.New(kind.AnswerLost, "the request ran or may have; its answer isn't kept")
	}
	return nil, kind.New(kind.OutcomeUnknown, "no record of the attempt")
}
