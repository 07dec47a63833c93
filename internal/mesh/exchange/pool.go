package exchange

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/url"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/limpetdock/limpetdock/internal/mesh"
	"github.com/limpetdock/limpetdock/internal/sockopt"
)

const (
	// dialTimeout bounds opening a connection on the own VM.
	dialTimeout = time.Second
	// userTimeout is when the kernel gives up unacknowledged bytes: an address that
	// went dark must not hold a request for minutes.
	userTimeout = 3 * time.Second
	// defaultIdle is how long an unused connection is trusted where the backend
	// server doesn't say how long it keeps one.
	defaultIdle = 4 * time.Second
	// idleMargin is kept off what the backend server says: a request sent as it
	// closes would be reset, and nobody could tell whether it ran.
	idleMargin = 1500 * time.Millisecond
	// onceIdle is how long an unused connection is trusted for a request that may
	// run only once. A reset costs such a request its outcome, a new connection
	// only a millisecond.
	onceIdle = 2 * time.Second
	// maxIdle bounds the connections kept.
	maxIdle = 32
)

// Client makes exchanges with one backend server. Safe for concurrent use.
type Client struct {
	addr   string
	names  mesh.HeaderNames
	mu     sync.Mutex
	idle   []*conn
	opened atomic.Uint64
}

// NewClient returns a Client of the backend server at addr.
func NewClient(addr string, names mesh.HeaderNames) *Client {
	return &Client{addr: addr, names: names}
}

// Opened counts the connections opened so far.
func (c *Client) Opened() uint64 { return c.opened.Load() }

// Outcome is how far an exchange that failed got.
type Outcome uint8

// The outcomes.
const (
	// NotSent is an exchange of which no byte went out.
	NotSent Outcome = iota
	// Unreachable is the same for want of a connection.
	Unreachable
	// Unknown is one that the backend server may have run.
	Unknown
)

// Failure is an exchange without a whole answer.
type Failure struct {
	Outcome Outcome
	Cause   error
}

// Error gives the cause.
func (f *Failure) Error() string { return f.Cause.Error() }

// Unwrap gives the cause.
func (f *Failure) Unwrap() error { return f.Cause }

// Message is a request as it is to be written.
type Message struct {
	Method, URI, Host string
	Header            http.Header
	Body              []byte
	// Once is for requests that may run only once.
	Once bool
}

func (m *Message) request() *http.Request {
	r := &http.Request{
		Method: m.Method, URL: &url.URL{Opaque: m.URI}, Host: m.Host, Header: m.Header,
		ProtoMajor: 1, ProtoMinor: 1, ContentLength: int64(len(m.Body)),
	}
	if len(m.Body) > 0 {
		r.Body = io.NopCloser(bytes.NewReader(m.Body))
	}
	if _, ok := r.Header["User-Agent"]; !ok {
		// Or the library would add one of its own.
		r.Header["User-Agent"] = nil
	}
	return r
}

// Do sends a request and gives the whole answer. allow is asked right before the
// first byte goes out. When ctx ends the connection is closed, by which most
// backend servers notice that nobody waits.
func (c *Client) Do(ctx context.Context, m *Message, allow func() bool) (*mesh.Answer, *Failure) {
	one, err := c.take(ctx, m.Once)
	if err != nil {
		return nil, &Failure{Unreachable, err}
	}
	r, sent := one.send(ctx, m.request(), allow)
	if r.err != nil {
		one.kill()
		outcome := Unknown
		if !sent {
			outcome = NotSent
		}
		return nil, &Failure{outcome, r.err}
	}
	if one.noteKeep(r.resp) && one.alive() {
		c.put(one)
	} else {
		one.kill()
	}
	return &mesh.Answer{Status: r.resp.StatusCode, Header: r.resp.Header, Body: r.body}, nil
}

// take gives a kept connection, the last used first, or a new one.
func (c *Client) take(ctx context.Context, once bool) (*conn, error) {
	now := time.Now()
	c.mu.Lock()
	for i := len(c.idle) - 1; i >= 0; i-- {
		one := c.idle[i]
		if !one.alive() || one.stale(now) {
			one.kill()
			c.idle = append(c.idle[:i], c.idle[i+1:]...)
			continue
		}
		if once && now.Sub(one.idleSince) > onceIdle {
			continue
		}
		c.idle = append(c.idle[:i], c.idle[i+1:]...)
		c.mu.Unlock()
		return one, nil
	}
	c.mu.Unlock()
	return c.dial(ctx)
}

// stale says whether the backend server may be about to close the connection.
func (c *conn) stale(now time.Time) bool {
	keep := defaultIdle
	if c.keep > 0 {
		keep = c.keep - idleMargin
	}
	return now.Sub(c.idleSince) > keep
}

func (c *Client) put(one *conn) {
	one.idleSince = time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.idle) >= maxIdle {
		one.kill()
		return
	}
	c.idle = append(c.idle, one)
}

func (c *Client) dial(ctx context.Context) (*conn, error) {
	d := net.Dialer{Timeout: dialTimeout, Control: sockopt.UserTimeout(userTimeout)}
	raw, err := d.DialContext(ctx, "tcp", c.addr)
	if err != nil {
		return nil, eris.Wrap(err, "open connection to backend server")
	}
	c.opened.Add(1)
	return newConn(raw, c.names.RequestID), nil
}

// Close drops the kept connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, one := range c.idle {
		one.kill()
	}
	c.idle = nil
}
