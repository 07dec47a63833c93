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
	// grace is how long after its deadline a call still waits for an answer, so
	// that the system's own "too late" is told from silence.
	grace = 500 * time.Millisecond
	// dialTimeout bounds opening a connection.
	dialTimeout = 2 * time.Second
	// chainHeader tells a backend server stand-in which services to call on.
	chainHeader = "X-Standin-Chain"
	bodyFill    = 'x'
)

// Client is a Sender over HTTP/1.1. As callers' libraries commonly do, it sends
// an idempotent call again when a kept connection turns out to be closed before
// any answer came.
type Client struct {
	plan      Plan
	bodies    [][]byte
	transport *http.Transport
}

// NewClient returns a Client for a plan, which has been checked.
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

// Close drops the idle connections.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

// Send makes one call.
func (c *Client) Send(ctx context.Context, call Call) Outcome {
	k := &c.plan.Kinds[call.Kind]
	ctx, cancel := context.WithTimeout(ctx, k.Timeout+grace)
	defer cancel()
	req, err := c.request(ctx, k, call)
	if err != nil {
		return Broken
	}
	resp, err := c.transport.RoundTrip(req)
	if err != nil {
		return failure(ctx, Broken)
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return failure(ctx, Cut)
	}
	if k := resp.Header.Get(headers.Kind); k != "" {
		return Outcome(k)
	}
	if resp.StatusCode >= http.StatusBadRequest {
		return BackendError
	}
	return OK
}

func failure(ctx context.Context, otherwise Outcome) Outcome {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return CallerTimeout
	}
	return otherwise
}

func (c *Client) request(ctx context.Context, k *Kind, call Call) (*http.Request, error) {
	var body io.Reader
	if text := c.bodies[call.Kind]; len(text) > 0 {
		body = bytes.NewReader(text)
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
