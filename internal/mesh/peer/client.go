package peer

import (
	"bufio"
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/limpetdock/limpetdock/internal/kind"
	"github.com/limpetdock/limpetdock/internal/mesh"
)

const (
	// dialTimeout bounds opening a connection: some dozens of round trips between
	// regions.
	dialTimeout = 700 * time.Millisecond
	// pingAfter is how long a request may be out without any frame of the peer
	// before it is asked whether it is there, and pongWithin how long that takes
	// at most. A connection may go silent for good while new ones work.
	pingAfter  = 400 * time.Millisecond
	pongWithin = 600 * time.Millisecond
	// bulkSize is the body from which on a request goes over a second connection,
	// in bytes, so that small requests don't wait behind an upload.
	bulkSize = 16 << 10
)

var errSilent = eris.New("the connection to the peer went silent")

// Listener is told what peers report. Safe for concurrent use.
type Listener interface {
	// Reported takes the load of the backend server beside the node at addr.
	Reported(addr string, l mesh.Load)
}

// Client sends requests to other nodes. Safe for concurrent use.
type Client struct {
	hello    Hello
	listener Listener
	mu       sync.Mutex
	links    map[linkKey]*link
	// state gives the node's state for one that has none.
	state atomic.Pointer[func() []byte]
}

// OnAsked sets what gives the node's state to a node that starts while the store is
// away; nil of it is nothing to tell.
func (c *Client) OnAsked(state func() []byte) { c.state.Store(&state) }

// tellState answers a node that asks for the state.
func (c *Client) tellState(w *writer) {
	give := c.state.Load()
	if give == nil {
		return
	}
	state := (*give)()
	if state == nil {
		return
	}
	// One that can't be told has its connection closed and is dialled again.
	_ = w.send(rawFrame(frameState, state))
}

type linkKey struct {
	addr string
	bulk bool
}

// NewClient returns a Client of the node at here.
func NewClient(here mesh.Place, l Listener) *Client {
	return &Client{
		hello:    Hello{VM: here.VM, IP: here.IP, Zone: here.Zone, Region: here.Region},
		listener: l, links: map[linkKey]*link{},
	}
}

// link is one connection to a peer, opened when it is first needed and again
// after it broke.
type link struct {
	client *Client
	key    linkKey
	mu     sync.Mutex
	// dialing is closed when a dial under way has ended.
	dialing chan struct{}
	writer  *writer
	heard   time.Time
	pinged  time.Time
	next    uint32
	streams map[uint32]*stream
}

type stream struct {
	ended chan reply
}

type reply struct {
	answer *mesh.Answer
	err    *kind.Error
}

func (c *Client) link(key linkKey) *link {
	c.mu.Lock()
	defer c.mu.Unlock()
	l := c.links[key]
	if l == nil {
		l = &link{client: c, key: key, streams: map[uint32]*stream{}}
		c.links[key] = l
	}
	return l
}

// Run offers a request to the node at addr and waits for what becomes of it. An
// error that says "not run" is proof.
func (c *Client) Run(ctx context.Context, addr string, r *mesh.Request) (*mesh.Answer, *kind.Error) {
	l := c.link(linkKey{addr, len(r.Body) >= bulkSize})
	w, err := l.connect(ctx)
	if err != nil {
		return nil, kind.New(kind.Unreachable, "the target's node can't be reached").Because(err)
	}
	number, s := l.open()
	defer l.forget(number)
	frame, err := encode(frameRequest, number, fromRequest(r))
	if err != nil {
		return nil, kind.New(kind.BadRequest, "the request can't be sent on").Because(err)
	}
	if err := w.send(frame); err != nil {
		return nil, kind.New(kind.Unreachable, "the target's node can't be reached").Because(err)
	}
	return l.wait(ctx, w, number, s)
}

// wait waits for the end of a stream, and asks the peer whether it is there when
// nothing comes for a while.
func (l *link) wait(ctx context.Context, w *writer, number uint32, s *stream) (*mesh.Answer, *kind.Error) {
	check := time.NewTimer(pingAfter)
	defer check.Stop()
	for {
		select {
		case r := <-s.ended:
			return r.answer, r.err
		case <-ctx.Done():
			if frame, err := encode(frameCancel, number, nil); err == nil {
				// If it can't be sent, the connection ends, and that cancels as well.
				_ = w.send(frame)
			}
			if errors.Is(ctx.Err(), context.Canceled) {
				return nil, kind.New(kind.OutcomeUnknown, "the caller left").Because(ctx.Err())
			}
			return nil, kind.New(kind.DeadlineUnknown, "the wait for the target ended").Because(ctx.Err())
		case <-check.C:
			check.Reset(l.check(w))
		}
	}
}

// check pings a peer that wasn't heard of for a while, and closes the connection
// of one that didn't answer. It gives the time to the next check.
func (l *link) check(w *writer) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.writer != w {
		return pingAfter
	}
	now := time.Now()
	if !l.pinged.IsZero() && l.heard.Before(l.pinged) {
		if now.Sub(l.pinged) >= pongWithin {
			go w.close()
		}
		return pongWithin / 4
	}
	if now.Sub(l.heard) < pingAfter {
		return pingAfter - now.Sub(l.heard)
	}
	l.pinged = now
	if frame, err := encode(framePing, 0, nil); err == nil {
		// If it can't be sent the connection ends.
		_ = w.send(frame)
	}
	return pongWithin
}

func (l *link) open() (uint32, *stream) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.next++
	s := &stream{ended: make(chan reply, 1)}
	l.streams[l.next] = s
	return l.next, s
}

func (l *link) forget(number uint32) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.streams, number)
}

// connect gives the open connection, or opens it; one caller dials for all.
func (l *link) connect(ctx context.Context) (*writer, error) {
	for {
		l.mu.Lock()
		if l.writer != nil {
			defer l.mu.Unlock()
			return l.writer, nil
		}
		wait := l.dialing
		if wait == nil {
			l.dialing = make(chan struct{})
			l.mu.Unlock()
			return l.dial()
		}
		l.mu.Unlock()
		select {
		case <-wait:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
		l.mu.Lock()
		failed := l.writer == nil && l.dialing == nil
		l.mu.Unlock()
		if failed {
			return nil, eris.New("opening the connection failed")
		}
	}
}

func (l *link) dial() (*writer, error) {
	d := net.Dialer{Timeout: dialTimeout, KeepAliveConfig: keepAlive, Control: giveUpSoon}
	raw, err := d.Dial("tcp", l.key.addr)
	l.mu.Lock()
	defer l.mu.Unlock()
	defer func() {
		close(l.dialing)
		l.dialing = nil
	}()
	if err != nil {
		return nil, eris.Wrap(err, "open connection to peer")
	}
	w := newWriter(raw)
	frame, err := encode(frameHello, 0, &l.client.hello)
	if err == nil {
		err = w.send(frame)
	}
	if err != nil {
		w.close()
		return nil, err
	}
	l.writer, l.heard, l.pinged = w, time.Now(), time.Time{}
	go l.read(raw, w)
	return w, nil
}

// read takes frames until the connection ends, and then ends every stream on it.
func (l *link) read(raw net.Conn, w *writer) {
	reader := bufio.NewReader(raw)
	for {
		t, number, body, err := decode(reader)
		if err != nil || !l.take(w, t, number, body) {
			break
		}
	}
	w.close()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.writer = nil
	for number, s := range l.streams {
		delete(l.streams, number)
		s.ended <- reply{err: kind.New(kind.OutcomeUnknown, "the connection to the target's node broke").Because(errSilent)}
	}
}

func (l *link) take(w *writer, t frameType, number uint32, body []byte) bool {
	l.mu.Lock()
	l.heard = time.Now()
	l.mu.Unlock()
	switch t {
	case frameAnswer:
		var a answerBody
		if msgpack.Unmarshal(body, &a) != nil {
			return false
		}
		l.client.listener.Reported(l.key.addr, a.Load.load())
		l.end(number, reply{answer: &mesh.Answer{Status: a.Status, Header: a.Header, Body: a.Body}})
	case frameRefusal:
		var r refusalBody
		if msgpack.Unmarshal(body, &r) != nil {
			return false
		}
		l.client.listener.Reported(l.key.addr, r.Load.load())
		l.end(number, reply{err: r.error()})
	case frameLoad:
		var b loadBody
		if msgpack.Unmarshal(body, &b) != nil {
			return false
		}
		l.client.listener.Reported(l.key.addr, b.load())
	case frameAsk:
		l.client.tellState(w)
	case framePong:
	default:
		return false
	}
	return true
}

func (l *link) end(number uint32, r reply) {
	l.mu.Lock()
	s := l.streams[number]
	delete(l.streams, number)
	l.mu.Unlock()
	if s != nil {
		s.ended <- r
	}
}

// Warm opens the connections to peers that aren't open, so that their load
// reports arrive before the first request.
func (c *Client) Warm(ctx context.Context, addr string) error {
	_, err := c.link(linkKey{addr: addr}).connect(ctx)
	return err
}

// Keep closes the connections to all nodes but those in use.
func (c *Client) Keep(inUse map[string]mesh.Distance) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for key, l := range c.links {
		if _, used := inUse[key.addr]; used {
			continue
		}
		l.mu.Lock()
		idle := len(l.streams) == 0 && l.dialing == nil
		w := l.writer
		l.mu.Unlock()
		if !idle {
			continue
		}
		delete(c.links, key)
		if w != nil {
			w.close()
		}
	}
}
