package peer

import (
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"

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

var errQueueFull = eris.New("send queue full: the peer does not read")

// writer writes frames from a queue, so that senders don't wait for the network.
// Frames that are queued together are written with one call.
type writer struct {
	conn   net.Conn
	mu     sync.Mutex
	queue  net.Buffers
	queued int
	// total is how many bytes were queued since the connection was opened.
	total  uint64
	wake   chan struct{}
	closed bool
}

func newWriter(c net.Conn) *writer {
	w := &writer{conn: c, wake: make(chan struct{}, 1)}
	go w.run()
	return w
}

// send queues a frame.
func (w *writer) send(frame []byte) error {
	_, err := w.enqueue(frame)
	return err
}

// enqueue queues a frame and returns its offset: how many bytes were queued before it
// since the connection was opened.
func (w *writer) enqueue(frame []byte) (offset uint64, err error) {
	w.mu.Lock()
	if w.closed {
		w.mu.Unlock()
		return 0, net.ErrClosed
	}
	if w.queued+len(frame) > maxQueued {
		w.mu.Unlock()
		w.close()
		return 0, errQueueFull
	}
	defer w.mu.Unlock()
	offset = w.total
	w.queue = append(w.queue, frame)
	w.queued += len(frame)
	w.total += uint64(len(frame))
	select {
	case w.wake <- struct{}{}:
	default:
	}
	return offset, nil
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
		if _, err := out.WriteBuffers(frames); err != nil {
			w.close()
			return
		}
	}
}

// close closes the connection and drops the queued frames.
func (w *writer) close() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed {
		return
	}
	w.closed = true
	w.queue = nil
	// The reader of the connection fails the streams that wait.
	_ = w.conn.Close()
	close(w.wake)
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
