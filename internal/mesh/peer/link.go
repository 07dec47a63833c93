package peer

import (
	"bufio"
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/limpetdock/limpetdock/internal/kind"
	"github.com/limpetdock/limpetdock/internal/mesh"
	"github.com/limpetdock/limpetdock/internal/sockopt"
)

// dialTimeout bounds opening a connection: some dozens of round trips between
// regions.
const dialTimeout = 700 * time.Millisecond

var errSilent = eris.New("the connection to the peer ended or went silent")

// link is one connection to a peer, opened when it is first needed and again
// after it broke.
type link struct {
	client *Client
	key    linkKey
	mu     sync.Mutex
	// dialing is closed when a dial under way has ended, and dialFailed why the last one
	// failed; nil if it didn't.
	dialing    chan struct{}
	dialFailed error
	writer     *writer
	life       liveness
	next       uint32
	streams    map[uint32]*stream
}

type stream struct {
	ended chan reply
}

type reply struct {
	answer *mesh.Answer
	err    *kind.Error
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

// connect gives the open connection, or has it opened and waits until it is or ctx ends.
// waited is how long that took; 0 for a connection that was open.
func (l *link) connect(ctx context.Context) (w *writer, waited time.Duration, err error) {
	l.mu.Lock()
	if l.writer != nil {
		defer l.mu.Unlock()
		return l.writer, 0, nil
	}
	if l.dialing == nil {
		l.dialing = make(chan struct{})
		go l.dial()
	}
	ended, began := l.dialing, time.Now()
	l.mu.Unlock()
	select {
	case <-ended:
	case <-ctx.Done():
		return nil, time.Since(began), ctx.Err()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	waited = time.Since(began)
	switch {
	case l.dialFailed != nil:
		return nil, waited, eris.Wrap(l.dialFailed, "open connection to peer")
	case l.writer == nil:
		return nil, waited, errSilent
	}
	return l.writer, waited, nil
}

// dialPeer opens a connection to the node at addr.
func dialPeer(addr string) (net.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout, KeepAliveConfig: keepAlive, Control: sockopt.UserTimeout(userTimeout)}
	return d.Dial("tcp", addr)
}

// dial opens the connection for all that wait for it.
func (l *link) dial() {
	raw, err := l.client.dial(l.key.addr)
	l.mu.Lock()
	defer l.mu.Unlock()
	if err == nil {
		err = l.greet(raw)
	}
	l.dialFailed = err
	close(l.dialing)
	l.dialing = nil
}

// greet says hello over a connection that was opened, and begins to read it. The mutex is
// held.
func (l *link) greet(raw net.Conn) error {
	w := newWriter(raw)
	frame, err := encode(frameHello, 0, &l.client.hello)
	if err == nil {
		err = w.send(frame)
	}
	if err != nil {
		w.close()
		return err
	}
	l.writer, l.life = w, liveness{heard: time.Now()}
	go l.read(raw, w)
	return nil
}

// read takes frames until the connection ends, and then ends every stream on it.
func (l *link) read(raw net.Conn, w *writer) {
	reader := bufio.NewReader(hearing{raw, l.hear})
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
	switch t {
	case frameAnswer:
		var a answerBody
		if msgpack.Unmarshal(body, &a) != nil {
			return false
		}
		l.client.listener.Reported(l.key.addr, a.Load.load())
		l.end(number, reply{answer: &mesh.Answer{
			Status: a.Status, Header: a.Header, Body: a.Body, Work: time.Duration(a.WorkMs) * time.Millisecond,
		}})
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
		return l.client.news.Load().give(w, body)
	case frameState:
		return l.client.news.Load().take(body)
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
