// Package link transports control messages between nodes over TCP. The server
// answers one message at a time on each connection, and the dialer reuses idle
// connections.
package link

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/limpetdock/limpetdock/internal/accept"
	"github.com/limpetdock/limpetdock/internal/wire"
)

const (
	// idleTimeout is how long a connection may be idle before it is closed.
	idleTimeout = 2 * time.Minute
	// acceptPause is the pause after a failed accept.
	acceptPause = 50 * time.Millisecond
	// maxConns is the maximum number of open connections that a node accepts.
	maxConns = 512
)

// Handler answers control messages. It must be safe for concurrent use.
type Handler interface {
	// Welcome reports whether the dialing node belongs to the fleet.
	Welcome(h *wire.Hello) bool
	// Answer returns the reply to a message, or nil to close the connection.
	Answer(from string, m wire.Message) wire.Message
}

// Counters count traffic, refused connections and dials. They are safe for
// concurrent use.
type Counters struct {
	// Sent and Received count the bytes of frames.
	Sent, Received atomic.Uint64
	// Strangers, BadFrames and Full count refused connections by cause: no valid
	// Hello of the fleet, an invalid frame, and too many connections.
	Strangers, BadFrames, Full atomic.Uint64
	// AcceptErrors counts failed accepts.
	AcceptErrors atomic.Uint64
	// Dials counts connections opened to peers.
	Dials atomic.Uint64
}

// Server accepts control connections until its listener is closed.
type Server struct {
	handler  Handler
	counters *Counters
	slots    chan struct{}
	mu       sync.Mutex
	open     map[net.Conn]struct{}
	wg       sync.WaitGroup
}

// NewServer returns a Server that answers with h.
func NewServer(h Handler, c *Counters) *Server {
	return &Server{handler: h, counters: c, slots: make(chan struct{}, maxConns), open: map[net.Conn]struct{}{}}
}

// Serve accepts connections on l until it is closed.
func (s *Server) Serve(l net.Listener) error {
	accept.Loop(l, acceptPause, func() { s.counters.AcceptErrors.Add(1) }, func(conn net.Conn) {
		select {
		case s.slots <- struct{}{}:
			s.start(conn)
		default:
			s.counters.Full.Add(1)
			_ = conn.Close()
		}
	})
	return nil
}

func (s *Server) start(conn net.Conn) {
	s.mu.Lock()
	s.open[conn] = struct{}{}
	s.mu.Unlock()
	s.wg.Go(func() {
		s.serve(conn)
		_ = conn.Close()
		s.mu.Lock()
		delete(s.open, conn)
		s.mu.Unlock()
		<-s.slots
	})
}

// Close closes every connection and waits for their goroutines.
func (s *Server) Close() {
	s.mu.Lock()
	for conn := range s.open {
		_ = conn.Close()
	}
	s.mu.Unlock()
	s.wg.Wait()
}

func (s *Server) serve(conn net.Conn) {
	from, ok := s.handshake(conn)
	if !ok {
		return
	}
	for {
		m, err := s.read(conn, idleTimeout)
		if err != nil {
			return
		}
		reply := s.handler.Answer(from, m)
		if reply == nil {
			return
		}
		if err := write(context.Background(), conn, reply, frameTimeout, s.counters); err != nil {
			return
		}
	}
}

// handshake reads the Hello, which must be the first message, and reports whether
// the dialing node belongs to the fleet.
func (s *Server) handshake(conn net.Conn) (string, bool) {
	m, err := s.read(conn, frameTimeout)
	if err != nil {
		return "", false
	}
	hello, ok := m.(*wire.Hello)
	if !ok || !s.handler.Welcome(hello) {
		s.counters.Strangers.Add(1)
		return "", false
	}
	return hello.VM, true
}

// read waits up to wait for the first byte of a frame. The rest must arrive at the
// minimum pace.
func (s *Server) read(conn net.Conn, wait time.Duration) (wire.Message, error) {
	r := &frameReader{ctx: context.Background(), conn: conn, counters: s.counters}
	_ = conn.SetReadDeadline(time.Now().Add(wait))
	m, err := wire.Read(r)
	if err != nil && r.read > 0 && !errors.Is(err, net.ErrClosed) {
		s.counters.BadFrames.Add(1)
	}
	return m, err
}
