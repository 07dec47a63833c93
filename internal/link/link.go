// Package link carries control messages between nodes over TCP: a server that
// answers one message at a time on each connection, and a dialer that keeps a
// few connections open.
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
	// idleTimeout closes connections no one asks on.
	idleTimeout = 2 * time.Minute
	// acceptPause follows a failed accept.
	acceptPause = 50 * time.Millisecond
	// maxConns bounds the connections a node accepts.
	maxConns = 512
)

// Handler answers control messages. It is called from many goroutines at once.
type Handler interface {
	// Welcome says whether the node that dialled belongs to the fleet.
	Welcome(h *wire.Hello) bool
	// Answer gives the reply to a message, or nil to close the connection.
	Answer(from string, m wire.Message) wire.Message
}

// Counters count what passes and what is refused. Safe for concurrent use.
type Counters struct {
	// Sent and Received are bytes of frames.
	Sent, Received atomic.Uint64
	// Strangers, BadFrames and Full count refused connections by cause.
	Strangers, BadFrames, Full atomic.Uint64
	// AcceptErrors counts connections that could not be accepted.
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
	from, ok := s.greet(conn)
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

// greet reads the Hello that must come first and refuses strangers.
func (s *Server) greet(conn net.Conn) (string, bool) {
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

// read waits up to wait for the first byte of a frame; the rest must keep the pace.
func (s *Server) read(conn net.Conn, wait time.Duration) (wire.Message, error) {
	r := &frameReader{ctx: context.Background(), conn: conn, counters: s.counters}
	_ = conn.SetReadDeadline(time.Now().Add(wait))
	m, err := wire.Read(r)
	if err != nil && r.read > 0 && !errors.Is(err, net.ErrClosed) {
		s.counters.BadFrames.Add(1)
	}
	return m, err
}
