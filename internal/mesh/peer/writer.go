package peer

import (
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/limpetdock/limpetdock/internal/stall"
)

const (
	// maxQueued bounds the bytes that wait to be written to one peer. A peer that
	// doesn't read is given up; it would otherwise fill this node's memory.
	maxQueued = 24 << 20
	// writeTimeout bounds how long a write may stand still. It does only if the peer
	// is frozen or cut off.
	writeTimeout = 3 * time.Second
)

var errFull = eris.New("the peer doesn't read what is sent to it")

// writer writes frames from a queue, so that nobody waits for the network.
// Frames that wait together go out in one write.
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

// enqueue queues a frame and gives how many bytes were queued before it since the
// connection was opened.
func (w *writer) enqueue(frame []byte) (ahead uint64, err error) {
	w.mu.Lock()
	if w.closed {
		w.mu.Unlock()
		return 0, net.ErrClosed
	}
	if w.queued+len(frame) > maxQueued {
		w.mu.Unlock()
		w.close()
		return 0, errFull
	}
	defer w.mu.Unlock()
	ahead = w.total
	w.queue = append(w.queue, frame)
	w.queued += len(frame)
	w.total += uint64(len(frame))
	select {
	case w.wake <- struct{}{}:
	default:
	}
	return ahead, nil
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

// close closes the connection; what is queued is dropped.
func (w *writer) close() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed {
		return
	}
	w.closed = true
	w.queue = nil
	// The reader of the connection tells everybody who waits.
	_ = w.conn.Close()
	close(w.wake)
}

const (
	// keepIdle, keepEvery and keepCount find a peer that went dark within three
	// seconds without a byte of the node's own (tcp(7)).
	keepIdle  = time.Second
	keepEvery = time.Second
	keepCount = 2
	// userTimeout is when the kernel gives up unacknowledged bytes: a request on its
	// way into the dark is known to be lost then.
	userTimeout = 1500 * time.Millisecond
)

var keepAlive = net.KeepAliveConfig{Enable: true, Idle: keepIdle, Interval: keepEvery, Count: keepCount}
