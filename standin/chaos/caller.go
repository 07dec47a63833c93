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
	// timeout is the deadline a caller gives, patience how long it waits itself.
	timeout  = 2 * time.Second
	patience = 3 * time.Second
	// maxSends bounds how often a caller sends one request.
	maxSends = 5
	// pause comes before a request is sent again.
	pause    = 100 * time.Millisecond
	bodySize = 300
	// doubleOneIn of the requests with a ticket or key are sent twice at once.
	doubleOneIn = 4
)

// caller sends one request at a time.
type caller struct {
	d      *deploy.Deployment
	rnd    *rand.Rand
	client *http.Client
}

func newCaller(d *deploy.Deployment, rnd *rand.Rand) *caller {
	return &caller{d: d, rnd: rnd, client: &http.Client{Transport: &http.Transport{}, Timeout: patience}}
}

func (c *caller) close() { c.client.CloseIdleConnections() }

// endpoint is an at-most-once route of the deployment.
type endpoint struct{ service, path string }

var endpoints = []endpoint{
	{"orders", "/orders/confirm"},
	{"depot", "/payouts/run"},
}

// one sends a request until it has a definite answer, or gives up.
func (c *caller) one(ctx context.Context) result {
	r := result{id: uuid.NewString(), start: time.Now()}
	r.style = []Style{Plain, OwnKey, Ticket}[c.rnd.IntN(3)]
	to := endpoints[c.rnd.IntN(len(endpoints))]
	body := make([]byte, bodySize)
	for i := range body {
		body[i] = byte(c.rnd.Uint32())
	}
	key := c.key(ctx, r.style, to, r.id)
	r.doubled = key != "" && c.rnd.IntN(doubleOneIn) == 0
	c.first(ctx, &r, to, key, body)
	for r.outcome == Unknown && r.style != Plain && key != "" && r.sends < maxSends && ctx.Err() == nil {
		time.Sleep(pause)
		r.sends++
		r.hear(c.send(ctx, r.id, c.place(), to, key, body))
	}
	r.end = time.Now()
	return r
}

// first sends the request, or two copies of it through two nodes at once, as a
// caller does whose client library hedges.
func (c *caller) first(ctx context.Context, r *result, to endpoint, key string, body []byte) {
	a, b := c.place(), c.place()
	r.sends++
	if !r.doubled {
		r.hear(c.send(ctx, r.id, a, to, key, body))
		return
	}
	r.sends++
	copied := make(chan told, 1)
	go func() { copied <- c.send(ctx, r.id, b, to, key, body) }()
	r.hear(c.send(ctx, r.id, a, to, key, body))
	r.hear(<-copied)
}

// told is what one sending was told.
type told struct {
	outcome Outcome
	detail  string
}

// hear takes what a sending was told; what is known better stays.
func (r *result) hear(t told) {
	r.deniedRun = r.deniedRun || t.outcome == NotRun
	rank := map[Outcome]int{"": 0, Unknown: 1, NotRun: 2, Ran: 3, Wrong: 4}
	if rank[t.outcome] >= rank[r.outcome] {
		r.outcome, r.detail = t.outcome, t.detail
	}
}

func (c *caller) place() deploy.Place { return c.d.Places[c.rnd.IntN(len(c.d.Places))] }

func (c *caller) key(ctx context.Context, s Style, to endpoint, id string) string {
	switch s {
	case OwnKey:
		return id
	case Ticket:
		return c.ticket(ctx, to)
	}
	return ""
}

// ticket obtains a ticket from any node; without one the request is sent plain.
func (c *caller) ticket(ctx context.Context, to endpoint) string {
	for range maxSends {
		req := c.request(ctx, c.place(), to, nil)
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
		time.Sleep(pause)
	}
	return ""
}

func (c *caller) request(ctx context.Context, p deploy.Place, to endpoint, body []byte) *http.Request {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+p.Callers()+to.path, bytes.NewReader(body))
	if err != nil {
		panic(err) // The addresses are the deployment's own.
	}
	req.Header.Set(headers.Service, to.service)
	req.Header.Set(headers.TimeoutMs, strconv.FormatInt(timeout.Milliseconds(), 10))
	return req
}

// send sends the request once and gives what it was told.
func (c *caller) send(ctx context.Context, id string, p deploy.Place, to endpoint, key string, body []byte) told {
	req := c.request(ctx, p, to, body)
	req.Header.Set(headers.RequestID, id)
	if key != "" {
		req.Header.Set(headers.IdempotencyKey, key)
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return told{Unknown, "no answer"}
	}
	defer func() { _ = resp.Body.Close() }()
	got, err := io.ReadAll(resp.Body)
	if err != nil {
		return told{Unknown, "answer cut"}
	}
	if k := resp.Header.Get(headers.Kind); k != "" {
		return told{Outcome(resp.Header.Get(headers.Outcome)), k}
	}
	switch {
	case resp.StatusCode != http.StatusOK:
		return told{Wrong, resp.Status}
	case resp.Header.Get(headers.RequestID) != id || !bytes.Equal(got, body):
		return told{Wrong, "not the answer to this request"}
	}
	return told{Ran, ""}
}
