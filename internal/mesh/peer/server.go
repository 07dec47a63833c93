package peer

import (
	"bufio"
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/limpetdock/limpetdock/internal/accept"
	"github.com/limpetdock/limpetdock/internal/clock"
	"github.com/limpetdock/limpetdock/internal/kind"
	"github.com/limpetdock/limpetdock/internal/mesh"
	"github.com/limpetdock/limpetdock/internal/mesh/quarantine"
	"github.com/limpetdock/limpetdock/internal/stopping"
)

// Handler runs requests of other nodes. Safe for concurrent use.
type Handler interface {
	// Run runs or refuses a request. ctx ends when the sender no longer waits for it, and with
	// the cause stopping.Err when the outcome is needed at once, as the server shuts down.
	Run(ctx context.Context, r *mesh.Request) (*mesh.Answer, *kind.Error)
	// Load returns the load that is reported with an answer.
	Load() mesh.Load
}

// helloTimeout bounds the wait for a connection's first frame.
const helloTimeout = 2 * time.Second

// Server accepts requests of other nodes. Safe for concurrent use.
type Server struct {
	handler Handler
	here    mesh.Place
	// now returns the time by the node's clock.
	now clock.Clock
	// ctx is the parent of the requests' contexts. endRequests ends it when the server shuts down.
	ctx         context.Context
	endRequests func()
	mu          sync.Mutex
	conns       map[*serverConn]struct{}
	// lastRequest is when each VM last sent a request.
	lastRequest map[string]time.Time
	bootstrap   *bootstrapper
	stateSync   *StateSync
	// initialSuspects returns the suspects for a node that has just connected; nil until
	// SetInitialSuspects is called.
	initialSuspects atomic.Pointer[func() []quarantine.Row]
	uplink          *Uplink
}

// SetUplink sets the Uplink through which the Server sends. It must be called before Serve.
func (s *Server) SetUplink(u *Uplink) { s.uplink = u }

// SetStateSync sets how state queries of other nodes are answered and how the states that
// they send are applied. While needsState returns true, nodes that dial this one are queried
// for their whole state, one at a time. It must be called before Serve.
//
// A node that starts while the store is unavailable knows no other node, and could not serve
// requests until the store is available again. The other nodes still have its address and
// keep dialling it.
func (s *Server) SetStateSync(needsState func() bool, state StateSync) {
	s.bootstrap, s.stateSync = newBootstrapper(needsState), &state
}

// NewServer returns a Server that passes requests to h.
func NewServer(h Handler, here mesh.Place) *Server {
	ctx, end := stopping.NewContext()
	return &Server{
		handler: h, here: here, now: clock.New(), ctx: ctx, endRequests: end, conns: map[*serverConn]struct{}{}, lastRequest: map[string]time.Time{},
		bootstrap: newBootstrapper(func() bool { return false }), uplink: NewUplink(0, DefaultQueueBytes),
	}
}

// Serve accepts connections on l until it is closed.
func (s *Server) Serve(l net.Listener) error {
	accept.Loop(l, accept.RetryDelay, func() {}, func(c net.Conn) { go s.serve(c) })
	return nil
}

// serverConn is a connection that another node dialled.
type serverConn struct {
	server   *Server
	writer   *writer
	hello    Hello
	query    pendingQuery
	delivery delivery
	// transit and pieces are used by the goroutine that reads.
	transit transit
	pieces  *pieces
	mu      sync.Mutex
	running map[uint32]context.CancelFunc
	// unconfirmed holds the requests that wait for confirmation, by stream ID.
	unconfirmed map[uint32]chan struct{}
	// unresponsive is true if the entry did not confirm a request in time and no frame was
	// received since.
	unresponsive atomic.Bool
}

func (s *Server) serve(c net.Conn) {
	conn := &serverConn{server: s, pieces: newPieces(s.uplink), running: map[uint32]context.CancelFunc{}, unconfirmed: map[uint32]chan struct{}{}}
	conn.writer = newWriter(c, s.uplink, &conn.delivery)
	defer conn.writer.close()
	defer conn.pieces.close()
	reader := bufio.NewReader(observedConn{c, conn.query.received})
	if err := conn.readHello(c, reader); err != nil {
		return
	}
	s.add(conn)
	defer s.remove(conn)
	// The client has to know that this node confirms before a request is on its way for long.
	load := s.handler.Load()
	conn.sendExtended(frameLoad, 0, fromLoad(load), s.reportExtension(load))
	conn.sendInitialSuspects()
	var queries sync.WaitGroup
	defer queries.Wait()
	ctx, cancel := context.WithCancel(s.ctx)
	// The entry no longer waits for requests of a connection that has ended.
	defer cancel()
	if s.bootstrap.active() {
		queries.Go(func() { s.bootstrap.query(ctx, conn) })
	}
	for {
		t, stream, body, err := decode(reader)
		if err != nil || !conn.handleFrame(ctx, t, stream, body) {
			return
		}
	}
}

func (c *serverConn) readHello(raw net.Conn, reader *bufio.Reader) error {
	if err := raw.SetReadDeadline(time.Now().Add(helloTimeout)); err != nil {
		return err
	}
	t, _, body, err := decodeFirst(reader)
	if err != nil {
		return err
	}
	if t != frameHello {
		return errFrame
	}
	x, err := decodeBody(body, &c.hello)
	if err != nil {
		return err
	}
	if x.Chunks {
		c.server.uplink.acceptPieces(c.writer)
	}
	c.transitDelay(c.hello.SentMs)
	return raw.SetReadDeadline(time.Time{})
}

// handleFrame handles one frame; false closes the connection.
func (c *serverConn) handleFrame(ctx context.Context, t frameType, stream uint32, body []byte) bool {
	c.unresponsive.Store(false)
	switch t {
	case frameRequest:
		var r requestBody
		x, err := decodeBody(body, &r)
		if err != nil {
			return false
		}
		c.startRequest(ctx, stream, &r, x)
	case frameHello:
		return c.handleHello(body)
	case frameChunk:
		return c.handlePiece(ctx, stream, body)
	case frameCancel:
		c.pieces.drop(stream)
		c.writer.cancelStream(stream)
		c.mu.Lock()
		cancel := c.running[stream]
		c.mu.Unlock()
		if cancel != nil {
			cancel()
		}
	case frameProceed:
		c.proceed(stream)
	case frameStateQuery:
		return c.server.stateSync.answer(c.writer, body)
	case frameState:
		return c.query.handleState(c.server.stateSync, body)
	case framePing:
		return c.sendFrame(framePong, stream, nil)
	default:
		return false
	}
	return true
}

// handleHello handles another Hello of a node that has begun to accept pieces since it dialled.
func (c *serverConn) handleHello(body []byte) bool {
	x, err := decodeBody(body, &Hello{})
	if err == nil && x.Chunks {
		c.server.uplink.acceptPieces(c.writer)
	}
	return err == nil
}

// handlePiece handles a piece of a frame; false closes the connection.
func (c *serverConn) handlePiece(ctx context.Context, stream uint32, piece []byte) bool {
	t, body, complete, err := c.pieces.add(stream, piece)
	return err == nil && (!complete || c.handleFrame(ctx, t, stream, body))
}

func (c *serverConn) startRequest(ctx context.Context, stream uint32, body *requestBody, x extension) {
	c.server.noteRequest(c.hello.VM)
	r := subtractTransit(body.request(), c.transitDelay(body.SentMs))
	r.Nested = x.Nested
	if body.Confirm {
		r.Confirm = func(ctx context.Context) error { return c.confirm(ctx, stream) }
	}
	ctx, cancel := context.WithCancel(ctx)
	c.mu.Lock()
	c.running[stream] = cancel
	c.mu.Unlock()
	go func() {
		defer func() {
			c.mu.Lock()
			delete(c.running, stream)
			c.mu.Unlock()
			cancel()
		}()
		answer, e := c.server.handler.Run(ctx, r)
		load := c.server.handler.Load()
		x := c.server.reportExtension(load)
		if e != nil {
			x.Proof, x.Evidence = string(e.Proof), e.Evidence
			c.sendPrioritized(frameRefusal, stream, fromError(e, load), x, r.Priority)
			return
		}
		x.CallsFailed, x.Callee = answer.CallsFailed, answer.Callee
		c.sendPrioritized(frameAnswer, stream, fromAnswer(answer, load), x, r.Priority)
	}()
}

func (c *serverConn) sendFrame(t frameType, stream uint32, body any) bool {
	return c.sendExtended(t, stream, body, extension{})
}

func (c *serverConn) sendExtended(t frameType, stream uint32, body any, x extension) bool {
	return c.sendPrioritized(t, stream, body, x, lowestPriority)
}

func (c *serverConn) sendPrioritized(t frameType, stream uint32, body any, x extension, priority int) bool {
	frame, err := encodeExtended(t, stream, body, x)
	if err != nil {
		return false
	}
	// If the frame can't be queued, the connection is closed and its reader ends.
	_, err = c.writer.enqueue(frame, priority)
	return err == nil
}

func (s *Server) add(c *serverConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[c] = struct{}{}
}

func (s *Server) remove(c *serverConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
	for other := range s.conns {
		if other.hello.VM == c.hello.VM {
			return
		}
	}
	delete(s.lastRequest, c.hello.VM)
}

func (s *Server) noteRequest(vm string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastRequest[vm] = time.Now()
}

// Scope selects the nodes to which a load report is sent.
type Scope uint8

// The scopes; each includes the nodes of the one before.
const (
	// ScopeSenders are the nodes of the local region that sent a request within senderWindow.
	ScopeSenders Scope = iota
	// ScopeRegion are all nodes of the local region.
	ScopeRegion
	// ScopeAll are all connected nodes.
	ScopeAll
)

// senderWindow is how long after its last request a node counts as a sender. At the rates
// the system is designed for, each node sends each target of its region about one request a
// second; a node that sends less receives the load with every answer and once a second.
const senderWindow = time.Second

// inScope reports whether a report is sent to the node at the other end.
func (c *serverConn) inScope(scope Scope, now time.Time) bool {
	switch {
	case scope == ScopeAll:
		return true
	case c.hello.Region != c.server.here.Region:
		return false
	}
	return scope == ScopeRegion || now.Sub(c.server.lastRequest[c.hello.VM]) < senderWindow
}

// reportExtension returns the extension of a load report.
func (s *Server) reportExtension(l mesh.Load) extension {
	x := loadExtension(l)
	x.Chunks = s.uplink.on()
	return x
}

// SendLoad sends a load report to the nodes in scope.
func (s *Server) SendLoad(l mesh.Load, scope Scope) {
	frame, err := encodeExtended(frameLoad, 0, fromLoad(l), s.reportExtension(l))
	if err != nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	sent := map[string]bool{}
	for c := range s.conns {
		if sent[c.hello.VM] || !c.inScope(scope, now) {
			continue
		}
		sent[c.hello.VM] = true
		// If the report can't be sent, the connection is closed and the node dials again.
		_ = c.writer.send(frame)
	}
}

// StopBootstrap prevents further queries for the state of other nodes.
func (s *Server) StopBootstrap() { s.bootstrap.stop() }

// deliveryCheckInterval is the pause between checks whether all outcomes have been delivered.
const deliveryCheckInterval = 5 * time.Millisecond

// Shutdown ends the contexts of all requests with the cause stopping.Err, and closes all
// connections once the outcomes have been delivered, or when ctx ends. It then returns the error of
// ctx.
func (s *Server) Shutdown(ctx context.Context) error {
	s.endRequests()
	defer s.Close()
	ticker := time.NewTicker(deliveryCheckInterval)
	defer ticker.Stop()
	for !s.Delivered() {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// Close closes all connections.
func (s *Server) Close() {
	s.StopBootstrap()
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.writer.close()
	}
}
