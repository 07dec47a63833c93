// Package link carries control messages between nodes over TCP: a server that
// answers one message at a time on each connection, and a dialer that keeps a
// few connections open.
package link

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/limpetdock/limpetdock/internal/wire"
)

const (
	// frameTimeout bounds how long a frame may take once its connection is in
	// use; a half-sent frame must not hold a goroutine for good.
	frameTimeout = 2 * time.Second
	// idleTimeout closes connections no one asks on.
	idleTimeout = 2 * time.Minute
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
	for {
		conn, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return eris.Wrap(err, "accept control connection")
		}
		select {
		case s.slots <- struct{}{}:
			s.start(conn)
		default:
			s.counters.Full.Add(1)
			_ = conn.Close()
		}
	}
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
		if err := write(conn, reply, s.counters); err != nil {
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

// read waits up to wait for the first byte of a frame, then frameTimeout for the rest.
func (s *Server) read(conn net.Conn, wait time.Duration) (wire.Message, error) {
	r := &frameReader{conn: conn, counters: s.counters}
	_ = conn.SetReadDeadline(time.Now().Add(wait))
	m, err := wire.Read(r)
	if err != nil && (r.begun || !errors.Is(err, io.EOF)) && !errors.Is(err, net.ErrClosed) {
		if r.begun {
			s.counters.BadFrames.Add(1)
		}
	}
	return m, err
}

type frameReader struct {
	conn     net.Conn
	counters *Counters
	begun    bool
}

func (r *frameReader) Read(p []byte) (int, error) {
	n, err := r.conn.Read(p)
	r.counters.Received.Add(uint64(n))
	if n > 0 && !r.begun {
		r.begun = true
		_ = r.conn.SetReadDeadline(time.Now().Add(frameTimeout))
	}
	return n, err
}

func write(conn net.Conn, m wire.Message, c *Counters) error {
	_ = conn.SetWriteDeadline(time.Now().Add(frameTimeout))
	n, err := wire.Write(conn, m)
	c.Sent.Add(uint64(n))
	return err
}

// Dialer sends messages to peers and waits for their answers. It keeps at most
// one idle connection per peer. Safe for concurrent use.
type Dialer struct {
	hello    wire.Hello
	counters *Counters
	mu       sync.Mutex
	idle     map[string]net.Conn
}

// maxIdle bounds the idle connections a dialer keeps.
const maxIdle = 16

// NewDialer returns a Dialer that opens each connection with hello.
func NewDialer(hello wire.Hello, c *Counters) *Dialer {
	return &Dialer{hello: hello, counters: c, idle: map[string]net.Conn{}}
}

// Call sends m to the peer at addr and returns its answer. A kept connection
// may have gone silent; a caller that must not trust it uses CallNew.
func (d *Dialer) Call(ctx context.Context, addr string, m wire.Message) (wire.Message, error) {
	if conn := d.take(addr); conn != nil {
		reply, err := d.exchange(ctx, conn, m)
		if err == nil {
			d.keep(addr, conn)
			return reply, nil
		}
		_ = conn.Close()
		if ctx.Err() != nil {
			return nil, err
		}
	}
	return d.CallNew(ctx, addr, m)
}

// Cost bounds the bytes that a Call of m sends: on a kept connection that turns
// out to be closed it is sent twice.
func (d *Dialer) Cost(m wire.Message) int {
	return wire.Size(&d.hello) + 2*wire.Size(m)
}

// CallNew sends m over a new connection.
func (d *Dialer) CallNew(ctx context.Context, addr string, m wire.Message) (wire.Message, error) {
	var dialer net.Dialer
	d.counters.Dials.Add(1)
	conn, err := dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, eris.Wrap(err, "dial peer")
	}
	if err := write(conn, &d.hello, d.counters); err != nil {
		_ = conn.Close()
		return nil, eris.Wrap(err, "greet peer")
	}
	reply, err := d.exchange(ctx, conn, m)
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	d.keep(addr, conn)
	return reply, nil
}

func (d *Dialer) exchange(ctx context.Context, conn net.Conn, m wire.Message) (wire.Message, error) {
	stop := context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	if err := write(conn, m, d.counters); err != nil {
		return nil, eris.Wrap(err, "send to peer")
	}
	r := &frameReader{conn: conn, counters: d.counters}
	if deadline, ok := ctx.Deadline(); ok {
		_ = conn.SetReadDeadline(deadline)
	}
	reply, err := wire.Read(r)
	if err != nil {
		return nil, eris.Wrap(err, "read from peer")
	}
	_ = conn.SetDeadline(time.Time{})
	return reply, nil
}

func (d *Dialer) take(addr string) net.Conn {
	d.mu.Lock()
	defer d.mu.Unlock()
	conn := d.idle[addr]
	delete(d.idle, addr)
	return conn
}

func (d *Dialer) keep(addr string, conn net.Conn) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.idle[addr] != nil || len(d.idle) >= maxIdle {
		_ = conn.Close()
		return
	}
	d.idle[addr] = conn
}

// Close closes the idle connections.
func (d *Dialer) Close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for addr, conn := range d.idle {
		_ = conn.Close()
		delete(d.idle, addr)
	}
}
