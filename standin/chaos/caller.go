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
	c.send(ctx, &r, to, key, body)
	for r.outcome == Unknown && r.style != Plain && key != "" && r.sends < maxSends && ctx.Err() == nil {
		time.Sleep(pause)
		c.send(ctx, &r, to, key, body)
	}
	r.end = time.Now()
	return r
}

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
		req := c.request(ctx, to, nil)
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

func (c *caller) request(ctx context.Context, to endpoint, body []byte) *http.Request {
	p := c.d.Places[c.rnd.IntN(len(c.d.Places))]
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+p.Callers()+to.path, bytes.NewReader(body))
	if err != nil {
		panic(err) // The addresses are the deployment's own.
	}
	req.Header.Set(headers.Service, to.service)
	req.Header.Set(headers.TimeoutMs, strconv.FormatInt(timeout.Milliseconds(), 10))
	return req
}

// send sends the request once and notes what it was told.
func (c *caller) send(ctx context.Context, r *result, to endpoint, key string, body []byte) {
	r.sends++
	req := c.request(ctx, to, body)
	req.Header.Set(headers.RequestID, r.id)
	if key != "" {
		req.Header.Set(headers.IdempotencyKey, key)
	}
	resp, err := c.client.Do(req)
	if err != nil {
		r.outcome, r.detail = Unknown, "no answer"
		return
	}
	defer func() { _ = resp.Body.Close() }()
	got, err := io.ReadAll(resp.Body)
	if err != nil {
		r.outcome, r.detail = Unknown, "answer cut"
		return
	}
	if k := resp.Header.Get(headers.Kind); k != "" {
		r.outcome, r.detail = Outcome(resp.Header.Get(headers.Outcome)), k
		return
	}
	switch {
	case resp.StatusCode != http.StatusOK:
		r.outcome, r.detail = Wrong, resp.Status
	case resp.Header.Get(headers.RequestID) != r.id || !bytes.Equal(got, body):
		r.outcome, r.detail = Wrong, "not the answer to this request"
	default:
		r.outcome, r.detail = Ran, ""
	}
}
