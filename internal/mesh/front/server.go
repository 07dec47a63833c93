// Package front speaks HTTP/1.1 to callers. It reads whole requests, several ahead of
// their answers if a caller pipelines, serves them concurrently, and writes the answers
// in order. The library's server would serve pipelined requests one after the other, and
// doesn't notice that a caller disconnects once another request is in its buffer.
package front

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/limpetdock/limpetdock/internal/accept"
	"github.com/limpetdock/limpetdock/internal/mesh"
	"github.com/limpetdock/limpetdock/internal/readlimit"
	"github.com/limpetdock/limpetdock/internal/stopping"
)

// Request is one request with its whole body.
type Request struct {
	Method, URI, Path, Host string
	Header                  http.Header
	Body                    []byte
	// Arrived is when the request was read.
	Arrived time.Time
	// closeAfter is true if the caller wants the connection to be closed after the answer.
	closeAfter bool
	// release ends the request's share of the memory for bodies.
	release func()
}

// Response is one answer with its whole body.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// Handler answers requests. Safe for concurrent use.
type Handler interface {
	// Serve answers one request. ctx ends with the cause mesh.ErrCallerLeft once nobody reads
	// the answer, and with stopping.Err when the answer is needed at once, as the server
	// ends.
	Serve(ctx context.Context, r *Request) *Response
	// Reject returns the answer with the given status to a request that can't be read.
	Reject(status int) *Response
	// Limits returns the limits in force.
	Limits() mesh.Limits
}

// Server accepts callers' connections. Safe for concurrent use.
type Server struct {
	handler  Handler
	draining atomic.Bool
	active   atomic.Int64
	// ctx is the parent of the connections' contexts. endRequests ends it when answers are needed
	// at once.
	ctx         context.Context
	endRequests func()
	// closing is true once the server shuts down. lastRequests, which is set before, is when the last requests must have
	// begun.
	closing      atomic.Bool
	lastRequests time.Time
	mu           sync.Mutex
	listener     net.Listener
	conns        map[*conn]struct{}
	// allClosed is closed once the server shuts down and has no connections.
	allClosed chan struct{}
	// bodies bounds the bodies of the requests that aren't answered yet.
	bodies *readlimit.Budget
	Counts Counts
}

// Counts counts what the server does. Safe for concurrent use.
type Counts struct {
	// Accepted counts connections, Requests those read completely, Rejected those that
	// could not be read, and Abandoned those whose caller disconnected before the answer.
	Accepted, Requests, Rejected, Abandoned atomic.Uint64
}

// maxBodies bounds the larger bodies of the requests that aren't answered yet, in bytes.
const maxBodies = 24 << 20

// New returns a Server that answers with h.
func New(h Handler) *Server {
	ctx, end := stopping.NewContext()
	return &Server{handler: h, ctx: ctx, endRequests: end, conns: map[*conn]struct{}{}, allClosed: make(chan struct{}), bodies: readlimit.NewBudget(maxBodies)}
}

// Serve accepts connections on l until it is closed or the server shuts down.
func (s *Server) Serve(l net.Listener) error {
	s.setListener(l)
	accept.Loop(l, accept.RetryDelay, func() {}, func(c net.Conn) {
		s.Counts.Accepted.Add(1)
		go s.serve(c)
	})
	return nil
}

// setListener sets the listener that Shutdown closes, or closes it if the server shuts down
// already.
func (s *Server) setListener(l net.Listener) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listener = l
	if s.closing.Load() {
		_ = l.Close()
	}
}

// Drain makes each answer from now on ask the caller to use another connection.
func (s *Server) Drain() { s.draining.Store(true) }

// Active returns how many requests were read and not answered yet.
func (s *Server) Active() int { return int(s.active.Load()) }

// BodyBytes returns the memory that larger bodies of requests take which aren't answered yet, in bytes.
func (s *Server) BodyBytes() int64 { return s.bodies.Held() }

// Shutdown stops accepting connections and reading requests, except for those on their way, and waits until every request
// that was read is answered and all connections are closed. It returns the error of ctx if that ends
// earlier; the requests that are left run on.
func (s *Server) Shutdown(ctx context.Context) error {
	s.stopReading()
	select {
	case <-s.allClosed:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// End shuts the server down and ends the contexts of all requests with the cause
// stopping.Err, so that they are answered at once. When ctx ends, it closes the connections
// that are left, and returns how many requests of callers that still waited got no answer.
func (s *Server) End(ctx context.Context) (unanswered int) {
	s.stopReading()
	s.endRequests()
	select {
	case <-s.allClosed:
		return 0
	case <-ctx.Done():
		return s.closeConns()
	}
}

// Close closes all connections without answering their requests.
func (s *Server) Close() {
	s.stopReading()
	s.endRequests()
	s.closeConns()
}

// stopReading closes the listener and makes all connections stop reading requests, except for those on their way.
func (s *Server) stopReading() {
	s.Drain()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closing.Load() {
		return
	}
	s.lastRequests = time.Now().Add(lastReadTimeout)
	s.closing.Store(true)
	if s.listener != nil {
		_ = s.listener.Close()
	}
	if len(s.conns) == 0 {
		close(s.allClosed)
	}
	for c := range s.conns {
		c.stopReading()
	}
}

// closeConns closes all connections and returns how many requests are cut off.
func (s *Server) closeConns() (unanswered int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		unanswered += c.awaited()
		_ = c.raw.Close()
	}
	return unanswered
}

// add registers a connection, unless the server shuts down.
func (s *Server) add(c *conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closing.Load() {
		return false
	}
	s.conns[c] = struct{}{}
	return true
}

func (s *Server) remove(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
	if s.closing.Load() && len(s.conns) == 0 {
		close(s.allClosed)
	}
}
