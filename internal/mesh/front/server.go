// Package front speaks HTTP/1.1 to callers. It reads whole requests, several
// ahead of their answers where a caller pipelines, serves them side by side, and
// writes the answers in order. The library's server would serve pipelined
// requests one after the other, and doesn't notice a caller that leaves once
// another request stands in its buffer.
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
)

// Request is one request, read whole.
type Request struct {
	Method, URI, Path, Host string
	Header                  http.Header
	Body                    []byte
	// Arrived is when it was read.
	Arrived time.Time
	// last says that the caller wants the connection to end with the answer.
	last bool
}

// Response is one answer, whole.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// Handler answers requests. ctx ends when the caller leaves. Safe for concurrent use.
type Handler interface {
	Serve(ctx context.Context, r *Request) *Response
	// Reject gives the answer to a request that can't be read, by its status.
	Reject(status int) *Response
	// Limits gives the limits in force.
	Limits() mesh.Limits
}

// Server takes callers' connections. Safe for concurrent use.
type Server struct {
	handler  Handler
	draining atomic.Bool
	// closed says that no request is taken any more.
	closed atomic.Bool
	active atomic.Int64
	mu     sync.Mutex
	conns  map[*conn]struct{}
	Counts Counts
}

// Counts count what the server does. Safe for concurrent use.
type Counts struct {
	// Accepted are connections; Requests those read whole; Rejected those that
	// couldn't be read; Left those whose caller left before the answer.
	Accepted, Requests, Rejected, Left atomic.Uint64
}

// New returns a Server that answers with h.
func New(h Handler) *Server { return &Server{handler: h, conns: map[*conn]struct{}{}} }

// Serve accepts connections on l until it is closed.
func (s *Server) Serve(l net.Listener) error {
	accept.Loop(l, accept.Pause, func() {}, func(c net.Conn) {
		s.Counts.Accepted.Add(1)
		go s.serve(c)
	})
	return nil
}

// Drain tells callers with each answer from now on to use another connection.
func (s *Server) Drain() { s.draining.Store(true) }

// Active gives how many requests were read and not answered yet.
func (s *Server) Active() int { return int(s.active.Load()) }

// Finish stops taking requests if none is being served, and says whether it did.
// A request that is read at the same moment goes first: then it returns false.
func (s *Server) Finish() bool {
	s.closed.Store(true)
	if s.active.Load() == 0 {
		return true
	}
	s.closed.Store(false)
	return false
}

// Close stops taking requests and ends all connections.
func (s *Server) Close() {
	s.closed.Store(true)
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		_ = c.raw.Close()
	}
}

// begin counts a request in, unless none is taken any more.
func (s *Server) begin() bool {
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
