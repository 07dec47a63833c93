package chaos

import (
	"bytes"
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/google/uuid"

	"github.com/limpetdock/limpetdock/internal/headers"
	"github.com/limpetdock/limpetdock/standin/deploy"
)

const (
	// timeout is the deadline sent with a request; clientTimeout is how long the
	// caller itself waits.
	timeout       = 2 * time.Second
	clientTimeout = 3 * time.Second
	// maxSends limits how often a caller sends one request.
	maxSends = 5
	// resendPause is the wait before a request is sent again.
	resendPause = 100 * time.Millisecond
	bodySize    = 300
	// One in duplicateOneIn requests with a ticket or key is sent as two
	// concurrent copies.
	duplicateOneIn = 4
)

// caller sends one request at a time.
type caller struct {
	d      *deploy.Deployment
	rnd    *rand.Rand
	client *http.Client
}

func newCaller(d *deploy.Deployment, rnd *rand.Rand) *caller {
	return &caller{d: d, rnd: rnd, client: &http.Client{Transport: &http.Transport{}, Timeout: clientTimeout}}
}

func (c *caller) close() { c.client.CloseIdleConnections() }

// endpoint is an at-most-once route of the deployment.
type endpoint struct{ service, path string }

var endpoints = []endpoint{
	{"orders", "/orders/confirm"},
	{"depot", "/payouts/run"},
}

// sendRequest sends a request until its outcome is known or the sends are used up.
func (c *caller) sendRequest(ctx context.Context) result {
	r := result{id: uuid.NewString(), start: time.Now()}
	r.style = []Style{Plain, OwnKey, Ticket}[c.rnd.IntN(3)]
	to := endpoints[c.rnd.IntN(len(endpoints))]
	body := make([]byte, bodySize)
	for i := range body {
		body[i] = byte(c.rnd.Uint32())
	}
	key := c.key(ctx, r.style, to, r.id)
	r.duplicated = key != "" && c.rnd.IntN(duplicateOneIn) == 0
	c.sendFirst(ctx, &r, to, key, body)
	for r.outcome == Unknown && r.style != Plain && key != "" && r.sends < maxSends && ctx.Err() == nil {
		time.Sleep(resendPause)
		r.sends++
		r.record(c.send(ctx, r.id, c.randomVM(), to, key, body))
	}
	r.end = time.Now()
	return r
}

// sendFirst sends the request, or two concurrent copies through two nodes, like
// a client library that hedges.
func (c *caller) sendFirst(ctx context.Context, r *result, to endpoint, key string, body []byte) {
	a, b := c.randomVM(), c.randomVM()
	r.sends++
	if !r.duplicated {
		r.record(c.send(ctx, r.id, a, to, key, body))
		return
	}
	r.sends++
	copied := make(chan reply, 1)
	go func() { copied <- c.send(ctx, r.id, b, to, key, body) }()
	r.record(c.send(ctx, r.id, a, to, key, body))
	r.record(<-copied)
}

// reply is the result of sending a request once.
type reply struct {
	outcome Outcome
	detail  string
}

// record merges a reply into the result. The more definite outcome is kept.
func (r *result) record(t reply) {
	r.reportedNotRun = r.reportedNotRun || t.outcome == NotRun
	rank := map[Outcome]int{"": 0, Unknown: 1, NotRun: 2, Ran: 3, Wrong: 4}
	if rank[t.outcome] >= rank[r.outcome] {
		r.outcome, r.detail = t.outcome, t.detail
	}
}

func (c *caller) randomVM() deploy.VM { return c.d.VMs[c.rnd.IntN(len(c.d.VMs))] }

func (c *caller) key(ctx context.Context, s Style, to endpoint, id string) string {
	switch s {
	case OwnKey:
		return id
	case Ticket:
		return c.ticket(ctx, to)
	}
	return ""
}

// ticket obtains a ticket from any node. It returns "" on failure; the request is
// then sent without one.
func (c *caller) ticket(ctx context.Context, to endpoint) string {
	for range maxSends {
		req := c.request(ctx, c.randomVM(), to, nil)
		req.Header.Set(headers.Ticket, "request")
		resp, err := c.client.Do(req)
		if err != nil {
			continue
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		if ticket := resp.Header.Get(headers.Ticket); ticket != "" {
			return ticket
		}
		time.Sleep(resendPause)
	}
	return ""
}

func (c *caller) request(ctx context.Context, p deploy.VM, to endpoint, body []byte) *http.Request {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+p.Callers()+to.path, bytes.NewReader(body))
	if err != nil {
		panic(err) // Can't happen: the deployment's addresses are valid.
	}
	req.Header.Set(headers.Service, to.service)
	req.Header.Set(headers.TimeoutMs, strconv.FormatInt(timeout.Milliseconds(), 10))
	return req
}

// send sends the request once and returns the reply.
func (c *caller) send(ctx context.Context, id string, p deploy.VM, to endpoint, key string, body []byte) reply {
	req := c.request(ctx, p, to, body)
	req.Header.Set(headers.RequestID, id)
	if key != "" {
		req.Header.Set(headers.IdempotencyKey, key)
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return reply{Unknown, "no answer"}
	}
	defer func() { _ = resp.Body.Close() }()
	got, err := io.ReadAll(resp.Body)
	if err != nil {
		return reply{Unknown, "answer truncated"}
	}
	if k := resp.Header.Get(headers.Kind); k != "" {
		return reply{Outcome(resp.Header.Get(headers.Outcome)), k}
	}
	switch {
	case resp.StatusCode != http.StatusOK:
		return reply{Wrong, resp.Status}
	case resp.Header.Get(headers.RequestID) != id || !bytes.Equal(got, body):
		return reply{Wrong, "not the answer to this request"}
	}
	return reply{Ran, ""}
}
