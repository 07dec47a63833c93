package peer

import (
	"bufio"
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/limpetdock/limpetdock/internal/kind"
	"github.com/limpetdock/limpetdock/internal/mesh"
	"github.com/limpetdock/limpetdock/internal/mesh/egress"
	"github.com/limpetdock/limpetdock/internal/sockopt"
)

// dialTimeout bounds opening a connection: some dozens of round trips between
// regions.
const dialTimeout = 700 * time.Millisecond

var errConnLost = eris.New("the connection to the peer closed or timed out")

// link is a connection to a peer. It is dialled when it is first needed and again after
// it broke.
type link struct {
	client *Client
	key    linkKey
	mu     sync.Mutex
	// dialing is closed when the dial in progress has ended; nil if there is none. dialErr
	// is the error of the last dial; nil if it succeeded.
	dialing      chan struct{}
	dialErr      error
	writer       *writer
	liveness     liveness
	lastStreamID uint32
	streams      map[uint32]*stream
	// confirms is true if the peer asks for confirmation of requests that need it.
	confirms bool
	// takesPieces is true if the peer accepts frames in pieces, and announced if it was informed that
	// this node does. pieces are those received over the open connection.
	takesPieces, announced bool
	pieces                 *pieces
}

// stream is a request in flight.
type stream struct {
	done chan result
	// needsConfirm is true if the peer must not run the request without confirmation, and
	// released is true once the peer was sent the confirmation.
	needsConfirm, released bool
}

// mayHaveRun reports whether a request may have run or may still run. A peer that hasn't
// reported that it confirms may be of a version that runs requests without confirmation. l.mu
// must be held.
func (l *link) mayHaveRun(s *stream) bool { return !s.needsConfirm || s.released || !l.confirms }

type result struct {
	answer *mesh.Answer
	err    *kind.Error
}

// wait waits for the end of a stream, and pings the peer when nothing is received for a
// while.
func (l *link) wait(ctx context.Context, w *writer, streamID uint32, s *stream) (*mesh.Answer, *kind.Error) {
	check := time.NewTimer(pingAfter)
	defer check.Stop()
	for {
		select {
		case r := <-s.done:
			return r.answer, r.err
		case <-ctx.Done():
			return nil, l.cancelStream(ctx, w, streamID, s)
		case <-check.C:
			check.Reset(l.check(w))
		}
	}
}

// cancelStream ends a request that the caller no longer waits for and returns its outcome.
func (l *link) cancelStream(ctx context.Context, w *writer, streamID uint32, s *stream) *kind.Error {
	// From here on the peer is not sent a frameProceed.
	l.removeStream(streamID)
	w.cancelStream(streamID)
	if frame, err := encode(frameCancel, streamID, nil); err == nil {
		// If the frame can't be sent, the connection is closed, which cancels the request too.
		_ = w.send(frame)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		e := mesh.CancelledError(ctx)
		if !l.mayHaveRun(s) {
			e.Outcome = kind.NotRun
			e.Proof = kind.Unconfirmed
		}
		return e
	case l.mayHaveRun(s):
		return kind.New(kind.DeadlineUnknown, "timed out waiting for the target").WithCause(ctx.Err())
	}
	return kind.New(kind.DeadlineNotRun, "timed out waiting for a slot at the target").WithProof(kind.Unconfirmed).WithCause(ctx.Err())
}

// proceed allows the peer to run a request unless the caller no longer waits for it. false
// closes the connection.
func (l *link) proceed(w *writer, streamID uint32) bool {
	l.mu.Lock()
	s := l.streams[streamID]
	if s != nil {
		s.released = true
	}
	l.mu.Unlock()
	if s == nil {
		// The request was cancelled, so the peer is sent a frameCancel.
		return true
	}
	frame, err := encode(frameProceed, streamID, nil)
	return err == nil && w.send(frame) == nil
}

// waitsForLink reports whether an answer of a peer with this extension waits for the peer's link as
// bulk, so that load reports overtake it.
func waitsForLink(x extension, body []byte) bool {
	return x.Chunks && prefixSize+len(body) > egress.SmallBytes
}

// handleLoad handles a load report of the peer. A delayed one came in pieces or waited for the peer's
// link, so newer ones may have arrived before. false closes the connection.
func (l *link) handleLoad(w *writer, b loadBody, x extension, delayed bool) bool {
	l.mu.Lock()
	l.confirms = b.Confirms
	accepted := x.Chunks && !l.takesPieces
	announce := x.Chunks && !l.announced && l.client.uplink.on()
	l.takesPieces, l.announced = l.takesPieces || accepted, l.announced || announce
	l.mu.Unlock()
	if !delayed {
		l.client.listener.Reported(l.key.addr, x.load(b))
	}
	if accepted {
		l.client.uplink.acceptPieces(w)
	}
	return !announce || l.announcePieces(w)
}

// announcePieces tells the peer that this node accepts frames in pieces, which it didn't when it
// dialled. false closes the connection.
func (l *link) announcePieces(w *writer) bool {
	frame, err := l.client.helloFrame(true)
	return err == nil && w.send(frame) == nil
}

// openStream starts a request. One that must not run twice needs confirmation: if the
// connection breaks before that, the request is known not to have run.
func (l *link) openStream(atMostOnce bool) (uint32, *stream) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastStreamID++
	if l.lastStreamID == 0 {
		// Frames without a stream have this ID.
		l.lastStreamID++
	}
	s := &stream{done: make(chan result, 1), needsConfirm: atMostOnce}
	l.streams[l.lastStreamID] = s
	return l.lastStreamID, s
}

func (l *link) removeStream(streamID uint32) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.streams, streamID)
	l.pieces.drop(streamID)
}

// connect returns the open connection, or dials and waits until the dial or ctx ends.
// waited is how long that took; 0 if the connection was open already.
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
	done, began := l.dialing, time.Now()
	l.mu.Unlock()
	select {
	case <-done:
	case <-ctx.Done():
		return nil, time.Since(began), ctx.Err()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	waited = time.Since(began)
	switch {
	case l.dialErr != nil:
		return nil, waited, eris.Wrap(l.dialErr, "open connection to peer")
	case l.writer == nil:
		return nil, waited, errConnLost
	}
	return l.writer, waited, nil
}

// dialPeer opens a connection to the node at addr.
func dialPeer(addr string) (net.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout, KeepAliveConfig: keepAlive, Control: sockopt.UserTimeout(userTimeout)}
	return d.Dial("tcp", addr)
}

// dial opens the connection for all requests that wait for it.
func (l *link) dial() {
	raw, err := l.client.dial(l.key.addr)
	l.mu.Lock()
	defer l.mu.Unlock()
	if err == nil {
		err = l.handshake(raw)
	}
	l.dialErr = err
	close(l.dialing)
	l.dialing = nil
}

// handshake sends the Hello frame over a new connection and starts reading from it. l.mu
// must be held.
func (l *link) handshake(raw net.Conn) error {
	w := newWriter(raw, l.client.uplink, nil)
	announced := l.client.uplink.on()
	frame, err := l.client.helloFrame(announced)
	if err == nil {
		err = w.send(frame)
	}
	if err != nil {
		w.close()
		return err
	}
	// The peer may be a new process of another version.
	l.writer, l.liveness, l.confirms = w, liveness{lastReceived: time.Now()}, false
	l.takesPieces, l.announced, l.pieces = false, announced, newPieces(l.client.uplink)
	go l.read(raw, w)
	return nil
}

// read handles frames until the connection ends, and then fails all of its streams.
func (l *link) read(raw net.Conn, w *writer) {
	reader := bufio.NewReader(observedConn{raw, l.noteReceived})
	for next := decodeFirst; ; next = decode {
		t, streamID, body, err := next(reader)
		if err != nil || !l.handleFrame(w, t, streamID, body, false) {
			break
		}
	}
	w.close()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.writer = nil
	l.pieces.close()
	for streamID, s := range l.streams {
		delete(l.streams, streamID)
		s.done <- result{err: l.closeError(s)}
	}
}

// closeError returns the error for a request whose connection broke. l.mu must be held.
func (l *link) closeError(s *stream) *kind.Error {
	if l.mayHaveRun(s) {
		return kind.New(kind.OutcomeUnknown, "the connection to the target's node broke").WithCause(errConnLost)
	}
	return kind.New(kind.Unreachable, "the connection to the target's node broke before the request ran").WithProof(kind.Unconfirmed).WithCause(errConnLost)
}

// handlePiece handles a piece of a frame; false closes the connection.
func (l *link) handlePiece(w *writer, streamID uint32, piece []byte) bool {
	l.mu.Lock()
	if streamID != 0 && l.streams[streamID] == nil {
		// The request was cancelled while the answer was on its way.
		l.mu.Unlock()
		return true
	}
	t, body, complete, err := l.pieces.add(streamID, piece)
	l.mu.Unlock()
	return err == nil && (!complete || l.handleFrame(w, t, streamID, body, true))
}

// handleFrame handles one frame; false closes the connection. delayed is true if it came in pieces.
func (l *link) handleFrame(w *writer, t frameType, streamID uint32, body []byte, delayed bool) bool {
	switch t {
	case frameAnswer:
		var a answerBody
		x, err := decodeBody(body, &a)
		if err != nil {
			return false
		}
		ok := l.handleLoad(w, a.Load, x, delayed || waitsForLink(x, body))
		answer := a.answer()
		answer.CallsFailed, answer.Callee = x.CallsFailed, x.Callee
		l.endStream(streamID, result{answer: answer})
		return ok
	case frameRefusal:
		var r refusalBody
		x, err := decodeBody(body, &r)
		if err != nil {
			return false
		}
		ok := l.handleLoad(w, r.Load, x, delayed)
		refusal := r.error()
		refusal.Proof, refusal.Evidence = kind.Proof(x.Proof), x.Evidence
		l.endStream(streamID, result{err: refusal})
		return ok
	case frameLoad:
		var b loadBody
		x, err := decodeBody(body, &b)
		if err != nil {
			return false
		}
		return l.handleLoad(w, b, x, delayed)
	case frameChunk:
		return l.handlePiece(w, streamID, body)
	case frameReady:
		return l.proceed(w, streamID)
	case frameStateQuery:
		return l.client.stateSync.Load().answer(w, body)
	case frameState:
		return l.client.stateSync.Load().apply(body)
	case frameSuspects:
		return l.client.handleSuspects(body)
	case framePong:
	default:
		return false
	}
	return true
}

func (l *link) endStream(streamID uint32, r result) {
	l.mu.Lock()
	s := l.streams[streamID]
	delete(l.streams, streamID)
	l.mu.Unlock()
	if s != nil {
		s.done <- r
	}
}
