package peer

import (
	"bufio"
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/limpetdock/limpetdock/internal/accept"
	"github.com/limpetdock/limpetdock/internal/kind"
	"github.com/limpetdock/limpetdock/internal/mesh"
)

// Handler runs requests of other nodes. Safe for concurrent use.
type Handler interface {
	// Run runs or refuses a request. ctx ends when nobody waits for it any more.
	Run(ctx context.Context, r *mesh.Request) (*mesh.Answer, *kind.Error)
	// Load gives the load to tell with the answer.
	Load() mesh.Load
}

// helloTimeout bounds the wait for a connection's first frame.
const helloTimeout = 2 * time.Second

// Server takes requests of other nodes. Safe for concurrent use.
type Server struct {
	handler Handler
	here    mesh.Place
	mu      sync.Mutex
	conns   map[*serverConn]struct{}
	// askedAt is when each VM last sent a request.
	askedAt map[string]time.Time
	lacking *lacking
	news    *News
}

// OnNews sets what answers questions of other nodes and takes their answers. A
// node that dials this one is asked for all it knows, in its turn, while lacks says
// that nothing is known here. It must be called before Serve.
//
// A node that starts while the store is away knows no other node, and would serve
// nobody until the store is back. The others still know its address, and keep
// dialling it.
func (s *Server) OnNews(lacks func() bool, n News) {
	s.lacking, s.news = newLacking(lacks), &n
}

// NewServer returns a Server that hands requests to h.
func NewServer(h Handler, here mesh.Place) *Server {
	return &Server{
		handler: h, here: here, conns: map[*serverConn]struct{}{}, askedAt: map[string]time.Time{},
		lacking: newLacking(func() bool { return false }),
	}
}

// Serve accepts connections on l until it is closed.
func (s *Server) Serve(l net.Listener) error {
	accept.Loop(l, accept.Pause, func() {}, func(c net.Conn) { go s.serve(c) })
	return nil
}

// serverConn is a connection that another node opened.
type serverConn struct {
	server   *Server
	writer   *writer
	hello    Hello
	question question
	answers  delivery
	mu       sync.Mutex
	running  map[uint32]context.CancelFunc
	// unconfirmed are requests that wait to be confirmed.
	unconfirmed map[uint32]chan struct{}
	// mute says that the node didn't confirm a request in time, and nothing came since.
	mute atomic.Bool
}

func (s *Server) serve(c net.Conn) {
	conn := &serverConn{server: s, writer: newWriter(c), running: map[uint32]context.CancelFunc{}, unconfirmed: map[uint32]chan struct{}{}}
	defer conn.writer.close()
	reader := bufio.NewReader(hearing{c, conn.question.hear})
	if err := conn.greet(c, reader); err != nil {
		return
	}
	s.add(conn)
	defer s.remove(conn)
	var asking sync.WaitGroup
	defer asking.Wait()
	ctx, cancel := context.WithCancel(context.Background())
	// Nobody waits any more for what came over a connection that has ended.
	defer cancel()
	if s.lacking.wants() {
		asking.Go(func() { s.lacking.ask(ctx, conn) })
	}
	for {
		t, stream, body, err := decode(reader)
		if err != nil || !conn.take(ctx, t, stream, body) {
			return
		}
	}
}

func (c *serverConn) greet(raw net.Conn, reader *bufio.Reader) error {
	if err := raw.SetReadDeadline(time.Now().Add(helloTimeout)); err != nil {
		return err
	}
	t, _, body, err := decode(reader)
	if err != nil {
		return err
	}
	if t != frameHello {
		return errFrame
	}
	if err := msgpack.Unmarshal(body, &c.hello); err != nil {
		return err
	}
	return raw.SetReadDeadline(time.Time{})
}

// take acts on one frame; false ends the connection.
func (c *serverConn) take(ctx context.Context, t frameType, stream uint32, body []byte) bool {
	c.mute.Store(false)
	switch t {
	case frameRequest:
		var r requestBody
		if msgpack.Unmarshal(body, &r) != nil {
			return false
		}
		c.start(ctx, stream, &r)
	case frameCancel:
		c.mu.Lock()
		cancel := c.running[stream]
		c.mu.Unlock()
		if cancel != nil {
			cancel()
		}
	case frameProceed:
		c.proceed(stream)
	case frameAsk:
		return c.server.news.give(c.writer, body)
	case frameState:
		return c.question.take(c.server.news, body)
	case framePing:
		return c.reply(framePong, stream, nil)
	default:
		return false
	}
	return true
}

func (c *serverConn) start(ctx context.Context, stream uint32, body *requestBody) {
	c.server.asked(c.hello.VM)
	r := body.request()
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
		if e != nil {
			c.reply(frameRefusal, stream, fromError(e, load))
			return
		}
		c.reply(frameAnswer, stream, &answerBody{
			Status: answer.Status, Header: answer.Header, Body: answer.Body, Load: fromLoad(load),
			WorkMs: milliseconds(answer.Work),
		})
	}()
}

func (c *serverConn) reply(t frameType, stream uint32, body any) bool {
	frame, err := encode(t, stream, body)
	if err != nil {
		return false
	}
	// A connection that can't be written to is closed, and its reader ends.
	ahead, err := c.writer.enqueue(frame)
	if t == frameAnswer || t == frameRefusal {
		c.answers.queued(ahead+uint64(len(frame)), time.Now())
	}
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
	delete(s.askedAt, c.hello.VM)
}

func (s *Server) asked(vm string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.askedAt[vm] = time.Now()
}

// Reach says which nodes a load report goes to.
type Reach uint8

// The reaches, each with those of the one before.
const (
	// Users are the nodes of the own region that sent a request lately.
	Users Reach = iota
	// Region are all nodes of the own region.
	Region
	// Everybody are all nodes that are connected.
	Everybody
)

// usedLately is how long after its last request a node counts as a user. At the rates
// the system is designed for each node sends to each target of its region about once a
// second; who sends less hears of the load with every answer and each second.
const usedLately = time.Second

// reaches says whether a report goes to the node at the other end.
func (c *serverConn) reaches(reach Reach, now time.Time) bool {
	switch {
	case reach == Everybody:
		return true
	case c.hello.Region != c.server.here.Region:
		return false
	}
	return reach == Region || now.Sub(c.server.askedAt[c.hello.VM]) < usedLately
}

// Tell sends a load report.
func (s *Server) Tell(l mesh.Load, reach Reach) {
	frame, err := encode(frameLoad, 0, fromLoad(l))
	if err != nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	told := map[string]bool{}
	for c := range s.conns {
		if told[c.hello.VM] || !c.reaches(reach, now) {
			continue
		}
		told[c.hello.VM] = true
		// One that can't be told has its connection closed, and dials again.
		_ = c.writer.send(frame)
	}
}

// Stop has the node ask others for nothing any more.
func (s *Server) Stop() { s.lacking.stop() }

// Close ends all connections.
func (s *Server) Close() {
	s.Stop()
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.writer.close()
	}
}
