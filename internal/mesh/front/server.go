// Package front speaks HTTP/1.1 to callers. It reads whole requests, several ahead of
// their answers if a caller pipelines, serves them concurrently, and writes the answers
// in order. The library's server would serve pipelined requests one after the other, and
// doesn't notice that a caller disconnects once another request is in its buffer.
package front

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/limpetdock/limpetdock/internal/accept"
	"github.com/limpetdock/limpetdock/internal/mesh"
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
}

// Response is one answer with its whole body.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// Handler answers requests. Safe for concurrent use.
type Handler interface {
	// Serve answers one request. ctx ends with the cause mesh.ErrCallerLeft or
	// mesh.ErrStopping once nobody reads the answer.
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
	// closed is true once no more requests are admitted.
	closed atomic.Bool
	// closing is true once the connections are being closed.
	closing atomic.Bool
	active  atomic.Int64
	mu      sync.Mutex
	conns   map[*conn]struct{}
	Counts  Counts
}

// Counts counts what the server does. Safe for concurrent use.
type Counts struct {
	// Accepted counts connections, Requests those read completely, Rejected those that
	// could not be read, and Abandoned those whose caller disconnected before the answer.
	// Unanswered counts requests that were read and got no answer because the server stopped.
	Accepted, Requests, Rejected, Abandoned, Unanswered atomic.Uint64
}

// New returns a Server that answers with h.
func New(h Handler) *Server { return &Server{handler: h, conns: map[*conn]struct{}{}} }

// Serve accepts connections on l until it is closed.
func (s *Server) Serve(l net.Listener) error {
	accept.Loop(l, accept.RetryDelay, func() {}, func(c net.Conn) {
		s.Counts.Accepted.Add(1)
		go s.serve(c)
	})
	return nil
}

// Drain makes each answer from now on ask the caller to use another connection.
func (s *Server) Drain() { s.draining.Store(true) }

// Active returns how many requests were read and not answered yet.
func (s *Server) Active() int { return int(s.active.Load()) }

// StopIfIdle stops admitting requests if none is being served, and reports whether it did.
// It returns false if a request is read at the same moment.
func (s *Server) StopIfIdle() bool {
	s.closed.Store(true)
	if s.active.Load() == 0 {
		return true
	}
	s.closed.Store(false)
	return false
}

// Close stops admitting requests and closes all connections.
func (s *Server) Close() {
	s.closed.Store(true)
	s.closing.Store(true)
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		_ = c.raw.Close()
	}
}

// endCause returns why a connection ended, as the cause for its requests' contexts.
func (s *Server) endCause() error {
	if s.closing.Load() {
		return mesh.ErrStopping
	}
	return mesh.ErrCallerLeft
}

// countUnwritten counts a request whose answer isn't written, by the cause of its end.
func (s *Server) countUnwritten(cause error) {
	if errors.Is(cause, mesh.ErrStopping) {
		s.Counts.Unanswered.Add(1)
		return
	}
	s.Counts.Abandoned.Add(1)
}

// beginRequest counts a request as active, unless requests are no longer admitted.
func (s *Server) beginRequest() bool {
	s.active.Add(1)
	if s.closed.Load() {
		s.active.Add(-1)
		return false
	}
	return true
}

func (s *Server) add(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[c] = struct{}{}
}

func (s *Server) remove(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}
