package exchange

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/limpetdock/limpetdock/internal/death"
	"github.com/limpetdock/limpetdock/internal/mesh"
	"github.com/limpetdock/limpetdock/internal/readlimit"
	"github.com/limpetdock/limpetdock/internal/sockopt"
	"github.com/limpetdock/limpetdock/internal/upstream"
)

const (
	// dialTimeout bounds opening a connection on the node's own VM.
	dialTimeout = time.Second
	// userTimeout is when the kernel closes a connection with unacknowledged bytes: an
	// unreachable address must not hold a request for minutes.
	userTimeout = 3 * time.Second
	// defaultIdle is how long an idle connection may be reused if the backend server
	// doesn't report how long it keeps one open.
	defaultIdle = 4 * time.Second
	// idleMargin is subtracted from what the backend server reports: a request sent while
	// it closes the connection would be reset, with an unknown outcome.
	idleMargin = 1500 * time.Millisecond
	// atMostOnceIdle is how long an idle connection may be reused for a request that must
	// not run twice. A reset leaves the outcome of such a request unknown, while a new
	// connection takes only a millisecond.
	atMostOnceIdle = 2 * time.Second
	// maxIdle bounds the number of idle connections.
	maxIdle = 32
	// maxAnswers bounds the larger answers that are read at the same time, in bytes. It has room for one of
	// the largest.
	maxAnswers = 24 << 20
	// reusePause is how long no connection is used for several requests after the backend server has sent
	// bytes without a request.
	reusePause = 10 * time.Second
)

// Client sends requests to one backend server. Safe for concurrent use.
type Client struct {
	addr     string
	names    mesh.HeaderNames
	mu       sync.Mutex
	idle     []*conn
	opened   atomic.Uint64
	detector *death.Detector
	// bodies bounds the bodies of answers that are being read.
	bodies *readlimit.Budget
	// reuseFrom is when connections may be used for several requests again, in nanoseconds since the epoch.
	reuseFrom atomic.Int64
	// reusePauses counts how often avoidReuse was called.
	reusePauses atomic.Uint64
	// unmatchedAnswers counts the answers that belonged to no request that was waiting.
	unmatchedAnswers atomic.Uint64
	// repeatsDiverted counts the idle connections that were passed over by a request whose ID they had carried.
	repeatsDiverted atomic.Uint64
}

// NewClient returns a Client for the backend server at addr.
func NewClient(addr string, names mesh.HeaderNames) *Client {
	return &Client{addr: addr, names: names, detector: death.NewDetector(addr), bodies: readlimit.NewBudget(maxAnswers)}
}

// Opened returns how many connections have been opened so far.
func (c *Client) Opened() uint64 { return c.opened.Load() + c.detector.Dialed() }

// Outcome is how far a failed exchange got.
type Outcome uint8

// The outcomes.
const (
	// NotSent means that no byte of the request was sent.
	NotSent Outcome = iota
	// Unreachable means that no byte was sent because no connection could be opened.
	Unreachable
	// Unknown means that the backend server may have run the request.
	Unknown
)

// Failure is an exchange without a complete answer.
type Failure struct {
	Outcome Outcome
	Cause   error
	// Generation is that of the process that the request was sent to.
	Generation death.Generation
	// conn is the record of the connection that the request was sent on.
	conn *death.Conn
}

// Error returns the message of the cause.
func (f *Failure) Error() string { return f.Cause.Error() }

// Unwrap returns the cause.
func (f *Failure) Unwrap() error { return f.Cause }

// ByIntermediary reports whether something answered in place of the backend server.
func (f *Failure) ByIntermediary() bool { return errors.Is(f.Cause, errIntermediary) }

// Message is a request to be written.
type Message struct {
	Method, URI, Host string
	Header            http.Header
	Body              []byte
	// AtMostOnce marks a request that must not run twice.
	AtMostOnce bool
}

func (m *Message) request() *http.Request {
	r := &http.Request{
		Method: m.Method, URL: m.url(), Host: m.Host, Header: m.Header,
		ProtoMajor: 1, ProtoMinor: 1, ContentLength: int64(len(m.Body)),
	}
	if len(m.Body) > 0 {
		r.Body = io.NopCloser(bytes.NewReader(m.Body))
	}
	if _, ok := r.Header["User-Agent"]; !ok {
		// Otherwise the library would add its own.
		r.Header["User-Agent"] = nil
	}
	return r
}

// url returns a URL that is written as m.URI is.
func (m *Message) url() *url.URL {
	// The library takes an opaque URL with two slashes for one that lacks its scheme.
	if strings.HasPrefix(m.URI, "//") {
		if u, err := url.ParseRequestURI(m.URI); err == nil {
			return u
		}
	}
	return &url.URL{Opaque: m.URI}
}

// Do sends a request and returns the complete answer. allow is called right before the
// first byte is written. When ctx ends the connection is closed, by which most backend
// servers notice that the answer is no longer awaited.
func (c *Client) Do(ctx context.Context, m *Message, allow func() bool) (*mesh.Answer, *Failure) {
	id := m.Header.Get(c.names.RequestID)
	pc, err := c.acquire(ctx, id, m.AtMostOnce)
	if err != nil {
		return nil, &Failure{Outcome: Unreachable, Cause: err}
	}
	pc.sentIDs.add(id)
	allowed := func() bool { return !pc.watch.Stale() && allow() }
	pc.watch.SetBusy(true)
	r, sent := pc.send(ctx, m.request(), allowed)
	pc.watch.SetBusy(false)
	if r.err != nil {
		pc.abort()
		outcome := Unknown
		if !sent {
			outcome = NotSent
		}
		return nil, &Failure{Outcome: outcome, Cause: r.err, Generation: pc.watch.Generation(), conn: pc.watch}
	}
	pc.watch.Answered()
	if pc.noteKeepAlive(r.resp) && pc.alive() && c.mayReuse() && !pc.sentIDs.full() {
		c.release(pc)
	} else {
		pc.abort()
	}
	answer := &mesh.Answer{Status: r.resp.StatusCode, Header: r.resp.Header, Body: r.body}
	if answer.Status >= http.StatusBadRequest {
		answer.Conn = pc.LocalAddr().String()
	}
	return answer, nil
}

// acquire returns an idle connection on which no request with this ID has been sent, the most
// recently used first, or a new one.
func (c *Client) acquire(ctx context.Context, id string, atMostOnce bool) (*conn, error) {
	now := time.Now()
	c.mu.Lock()
	for i := len(c.idle) - 1; i >= 0; i-- {
		pc := c.idle[i]
		if !pc.alive() || pc.stale(now) {
			pc.abort()
			c.idle = append(c.idle[:i], c.idle[i+1:]...)
			continue
		}
		if pc.receiving.Load() || atMostOnce && now.Sub(pc.idleSince) > atMostOnceIdle {
			continue
		}
		if pc.sentIDs.contains(id) {
			c.repeatsDiverted.Add(1)
			continue
		}
		c.idle = append(c.idle[:i], c.idle[i+1:]...)
		c.mu.Unlock()
		return pc, nil
	}
	c.mu.Unlock()
	return c.dial(ctx)
}

// stale reports whether the backend server may be about to close the connection.
func (c *conn) stale(now time.Time) bool {
	keepAlive := defaultIdle
	if c.keepAlive > 0 {
		keepAlive = c.keepAlive - idleMargin
	}
	return now.Sub(c.idleSince) > keepAlive
}

// avoidReuse makes each request use a connection of its own for some time. A request on a connection with bytes
// that belong to no request fails, as its answer can't be told from them.
func (c *Client) avoidReuse() {
	c.reusePauses.Add(1)
	c.reuseFrom.Store(time.Now().Add(reusePause).UnixNano())
}

// ReusePauses returns how often the backend server has sent bytes without a request, so that connections weren't
// reused for a while.
func (c *Client) ReusePauses() uint64 { return c.reusePauses.Load() }

// UnmatchedAnswers returns how many answers belonged to no request that was waiting, such as second answers.
func (c *Client) UnmatchedAnswers() uint64 { return c.unmatchedAnswers.Load() }

// RepeatsDiverted returns how often an idle connection was not used for a request because the same ID had been sent
// on it before.
func (c *Client) RepeatsDiverted() uint64 { return c.repeatsDiverted.Load() }

func (c *Client) mayReuse() bool { return time.Now().UnixNano() >= c.reuseFrom.Load() }

func (c *Client) release(pc *conn) {
	pc.idleSince = time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.idle) >= maxIdle {
		pc.abort()
		return
	}
	c.idle = append(c.idle, pc)
}

func (c *Client) dial(ctx context.Context) (*conn, error) {
	d := &net.Dialer{Timeout: dialTimeout, Control: sockopt.UserTimeout(userTimeout)}
	opening := c.detector.Opening()
	raw, err := upstream.Dial(ctx, d, c.addr)
	if err != nil {
		return nil, eris.Wrap(err, "open connection to backend server")
	}
	c.opened.Add(1)
	return newConn(raw, c, opening.Opened()), nil
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, pc := range c.idle {
		pc.abort()
	}
	c.idle = nil
}
