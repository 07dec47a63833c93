package load

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"

	"github.com/limpetdock/limpetdock/internal/headers"
)

const (
	// answerGrace is how long a call waits for an answer after its deadline. It lets
	// the client distinguish the system's own deadline error from a missing answer.
	answerGrace = 500 * time.Millisecond
	// dialTimeout limits the time to open a connection.
	dialTimeout = 2 * time.Second
	// chainHeader lists the services that backend server stand-ins call in turn.
	chainHeader = "X-Standin-Chain"
	bodyFill    = 'x'
)

// Client is a Sender over HTTP/1.1. Like most HTTP client libraries, it retries an
// idempotent call if a reused connection was closed before an answer arrived.
type Client struct {
	plan      Plan
	bodies    [][]byte
	transport *http.Transport
}

// NewClient returns a Client for a plan that has passed Plan.Check.
func NewClient(p Plan) *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	c := &Client{plan: p, transport: &http.Transport{
		DialContext: dialer.DialContext, DisableCompression: true,
		MaxIdleConnsPerHost: p.Workers, IdleConnTimeout: time.Minute,
	}}
	for _, k := range p.Kinds {
		c.bodies = append(c.bodies, bytes.Repeat([]byte{bodyFill}, k.Body))
	}
	return c
}

// Close closes the idle connections.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

// Send makes one call and returns its outcome.
func (c *Client) Send(ctx context.Context, call Call) Outcome {
	k := &c.plan.Kinds[call.Kind]
	ctx, cancel := context.WithTimeout(ctx, k.Timeout+answerGrace)
	defer cancel()
	req, err := c.newRequest(ctx, k, call)
	if err != nil {
		return Broken
	}
	resp, err := c.transport.RoundTrip(req)
	if err != nil {
		return failedOutcome(ctx, Broken)
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return failedOutcome(ctx, Cut)
	}
	if k := resp.Header.Get(headers.Kind); k != "" {
		return Outcome(k)
	}
	if resp.StatusCode >= http.StatusBadRequest {
		return BackendError
	}
	return OK
}

func failedOutcome(ctx context.Context, fallback Outcome) Outcome {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return CallerTimeout
	}
	return fallback
}

func (c *Client) newRequest(ctx context.Context, k *Kind, call Call) (*http.Request, error) {
	var body io.Reader
	if content := c.bodies[call.Kind]; len(content) > 0 {
		body = bytes.NewReader(content)
	}
	req, err := http.NewRequestWithContext(ctx, k.Method, "http://"+call.To+k.Path, body)
	if err != nil {
		return nil, err
	}
	if k.Service != "" {
		req.Header.Set(headers.Service, k.Service)
	}
	req.Header.Set(headers.TimeoutMs, strconv.FormatInt(k.Timeout.Milliseconds(), 10))
	req.Header.Set(headers.RequestID, uuid.NewString())
	if len(k.Chain) > 0 {
		req.Header.Set(chainHeader, strings.Join(k.Chain, ","))
	}
	for name, value := range k.Headers {
		req.Header.Set(name, value)
	}
	return req, nil
}
