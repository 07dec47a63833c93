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
	// confirms says that the peer has requests confirmed that ask for it.
	confirms bool
}

// stream is a request that is out.
type stream struct {
	ended chan reply
	// confirmed says that the request doesn't run before the peer has asked, and proceeds
	// that it has asked and was told yes.
	confirmed, proceeds bool
}

// mayRun says whether the request may have run or may still run.
func (s *stream) mayRun() bool { return !s.confirmed || s.proceeds }

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
			return nil, l.giveUp(ctx, w, number, s)
		case <-check.C:
			check.Reset(l.check(w))
		}
	}
}

// giveUp ends a request for which nobody waits any more, and tells what became of it.
func (l *link) giveUp(ctx context.Context, w *writer, number uint32, s *stream) *kind.Error {
	// From then on the peer isn't told to proceed.
	l.forget(number)
	if frame, err := encode(frameCancel, number, nil); err == nil {
		// If it can't be sent, the connection ends, and that cancels as well.
		_ = w.send(frame)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		return kind.New(kind.OutcomeUnknown, "the caller left").Because(ctx.Err())
	case s.mayRun():
		return kind.New(kind.DeadlineUnknown, "the wait for the target ended").Because(ctx.Err())
	}
	return kind.New(kind.DeadlineNotRun, "the wait for a slot at the target ended").Because(ctx.Err())
}

// proceed lets the peer run a request, unless nobody waits for it any more.
func (l *link) proceed(w *writer, number uint32) bool {
	l.mu.Lock()
	s := l.streams[number]
	if s != nil {
		s.proceeds = true
	}
	l.mu.Unlock()
	if s == nil {
		// The peer hears of it by a frameCancel.
		return true
	}
	frame, err := encode(frameProceed, number, nil)
	return err == nil && w.send(frame) == nil
}

// reported takes a load report of the peer.
func (l *link) reported(b loadBody) {
	l.mu.Lock()
	l.confirms = b.Confirms
	l.mu.Unlock()
	l.client.listener.Reported(l.key.addr, b.load())
}

// open begins a request. Where the peer is known to ask, one that must not run twice is
// confirmed: if the connection breaks before, it is known not to have run.
func (l *link) open(once bool) (uint32, *stream) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.next++
	s := &stream{ended: make(chan reply, 1), confirmed: once && l.confirms}
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
	// The process at the other end may be another one than before, of another version.
	l.writer, l.life, l.confirms = w, liveness{heard: time.Now()}, false
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
		s.ended <- reply{err: s.broken()}
	}
}

// broken tells what the end of the connection says of the request.
func (s *stream) broken() *kind.Error {
	if s.mayRun() {
		return kind.New(kind.OutcomeUnknown, "the connection to the target's node broke").Because(errSilent)
	}
	return kind.New(kind.Unreachable, "the connection to the target's node broke before the request ran").Because(errSilent)
}

func (l *link) take(w *writer, t frameType, number uint32, body []byte) bool {
	switch t {
	case frameAnswer:
		var a answerBody
		if msgpack.Unmarshal(body, &a) != nil {
			return false
		}
		l.reported(a.Load)
		l.end(number, reply{answer: &mesh.Answer{
			Status: a.Status, Header: a.Header, Body: a.Body, Work: time.Duration(a.WorkMs) * time.Millisecond,
		}})
	case frameRefusal:
		var r refusalBody
		if msgpack.Unmarshal(body, &r) != nil {
			return false
		}
		l.reported(r.Load)
		l.end(number, reply{err: r.error()})
	case frameLoad:
		var b loadBody
		if msgpack.Unmarshal(body, &b) != nil {
			return false
		}
		l.reported(b)
	case frameReady:
		return l.proceed(w, number)
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
