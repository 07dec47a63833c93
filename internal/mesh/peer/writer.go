package peer

import (
	"errors"
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/limpetdock/limpetdock/internal/mesh/egress"
	"github.com/limpetdock/limpetdock/internal/stall"
)

const (
	// maxQueued bounds the bytes that wait to be written to one peer. The connection to a
	// peer that doesn't read is closed; its queue would otherwise fill this node's memory.
	maxQueued = 24 << 20
	// writeTimeout bounds how long a write may make no progress. It is exceeded only if the
	// peer is frozen or unreachable.
	writeTimeout = 3 * time.Second
)

// errSwitched is returned if the scheduling of the link was switched while a frame was queued.
var errSwitched = eris.New("the scheduling of the link was switched")

var errQueueFull = eris.New("send queue full: the peer does not read")

// writer writes frames from a queue, so that senders don't wait for the network.
// Frames that are queued together are written with one call. While the node's link is scheduled,
// frames come to the queue through the Uplink, which decides on their order and time.
type writer struct {
	conn net.Conn
	// uplink may be nil; flow is the writer as its scheduler knows it.
	uplink *Uplink
	flow   *egress.Conn
	// delivery tracks the outcomes of requests until they are sent; it may be nil.
	delivery *delivery
	mu       sync.Mutex
	queue    net.Buffers
	queued   int
	// total is how many bytes were queued since the connection was opened.
	total  uint64
	wake   chan struct{}
	closed bool
	// scheduled is true if frames come through the Uplink only. Others could get into the middle of
	// one that is handed over in parts.
	scheduled bool
}

// newWriter returns a writer that sends through an Uplink; nil is none. d tracks the outcomes
// of requests that are sent; it may be nil.
func newWriter(c net.Conn, u *Uplink, d *delivery) *writer {
	w := &writer{conn: c, uplink: u, delivery: d, wake: make(chan struct{}, 1)}
	if u != nil {
		w.flow = u.add(w)
	}
	go w.run()
	return w
}

// lowestPriority is the priority of frames that belong to no request.
const lowestPriority = 15

// send queues a frame.
func (w *writer) send(frame []byte) error {
	_, err := w.enqueue(frame, lowestPriority)
	return err
}

// enqueue queues a frame of a request with the given priority and returns its offset: how many
// bytes are sent before it since the connection was opened. If the link is scheduled, the offset is
// that which the frame has if no other frames are queued before it is sent.
func (w *writer) enqueue(frame []byte, priority int) (offset uint64, err error) {
	for {
		if w.uplink.on() {
			offset, err = w.uplink.enqueue(w, frame, priority)
		} else {
			offset, err = w.append(frame)
		}
		if !errors.Is(err, errSwitched) {
			return offset, err
		}
	}
}

// append queues a frame behind all others. It returns errSwitched if the link is scheduled.
func (w *writer) append(frame []byte) (offset uint64, err error) {
	w.mu.Lock()
	switch {
	case w.closed:
		w.mu.Unlock()
		return 0, net.ErrClosed
	case w.scheduled:
		w.mu.Unlock()
		return 0, errSwitched
	}
	if w.queued+len(frame) > maxQueued {
		w.mu.Unlock()
		w.close()
		return 0, errQueueFull
	}
	defer w.mu.Unlock()
	offset = w.total
	w.add(frame)
	if w.delivery != nil && frameType(frame[4]).isOutcome() {
		w.delivery.noteQueued(w.total, time.Now())
	}
	return offset, nil
}

// add adds bytes to the queue. w.mu must be held.
func (w *writer) add(bytes []byte) {
	w.queue = append(w.queue, bytes)
	w.queued += len(bytes)
	w.total += uint64(len(bytes))
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// accept queues what the scheduler hands over at now.
func (w *writer) accept(h egress.Handover, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed {
		return
	}
	if h.Piece {
		w.add(piecePrefix(h))
	}
	w.add(h.Data)
	if h.Frame.Outcome && w.delivery != nil {
		w.delivery.noteHandedOver(w.total, h.Last, now)
	}
}

// setScheduled sets whether frames come through the Uplink only.
func (w *writer) setScheduled(scheduled bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.scheduled = scheduled
}

// progress returns how many bytes were queued since the connection was opened, and whether it is
// closed.
func (w *writer) progress() (total uint64, closed bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.total, w.closed
}

// cancelStream drops the frames of a stream that wait for the link.
func (w *writer) cancelStream(stream uint32) {
	if w.uplink.on() {
		w.uplink.cancel(w, stream)
	}
}

func (w *writer) run() {
	out := stall.NewWriter(w.conn, writeTimeout)
	for range w.wake {
		w.mu.Lock()
		frames := w.queue
		w.queue, w.queued = nil, 0
		closed := w.closed
		w.mu.Unlock()
		if closed {
			return
		}
		if len(frames) == 0 {
			continue
		}
		n, err := out.WriteBuffers(frames)
		if err != nil {
			w.close()
			return
		}
		if w.uplink.on() {
			w.uplink.written(w, n)
		}
	}
}

// close closes the connection and drops the queued frames.
func (w *writer) close() {
	if w.closeConn() && w.uplink != nil {
		w.uplink.remove(w)
	}
}

// closeConn closes the connection; false means that it is closed already.
func (w *writer) closeConn() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed {
		return false
	}
	w.closed = true
	w.queue = nil
	// The reader of the connection fails the streams that wait.
	_ = w.conn.Close()
	close(w.wake)
	return true
}

const (
	// keepAliveIdle, keepAliveInterval and keepAliveCount detect an unreachable peer within
	// three seconds while this node sends nothing (tcp(7)).
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
	// userTimeout is when the kernel closes a connection with unacknowledged bytes: a
	// request sent to an unreachable peer is known to be lost then.
	userTimeout = 1500 * time.Millisecond
)

var keepAlive = net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount}
