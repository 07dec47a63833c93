package peer

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

const (
	// slowRate is a link of 10 Mbit/s, in bytes a second.
	slowRate = 10_000_000 / 8
	// slowPiece is what such a link carries at a time, and slowBuffer how many of
	// these the kernel takes before they are on their way.
	slowPiece  = 4 << 10
	slowBuffer = 256
)

// wire is one direction of a link in memory.
type wire struct {
	// ctx ends when the end that sends is closed.
	ctx       context.Context
	cancel    context.CancelFunc
	delivered atomic.Uint64
	// lost makes it take bytes and deliver none, and stuck take none once its
	// buffer is full.
	lost, stuck atomic.Bool
}

func newWire() *wire {
	w := &wire{}
	w.ctx, w.cancel = context.WithCancel(context.Background())
	return w
}

// carry takes bytes from one end to the other until either is closed.
func (w *wire) carry(from, to net.Conn) {
	buffer := make(chan []byte, slowBuffer)
	go w.deliver(buffer, to)
	for w.ctx.Err() == nil {
		piece := make([]byte, slowPiece)
		n, err := from.Read(piece)
		if err != nil {
			break
		}
		select {
		case buffer <- piece[:n]:
		case <-w.ctx.Done():
		}
	}
	w.cancel()
	_ = from.Close()
}

// deliver hands on the pieces that were taken, each in its time.
func (w *wire) deliver(buffer <-chan []byte, to net.Conn) {
	defer func() {
		w.cancel()
		_ = to.Close()
	}()
	for {
		select {
		case <-w.ctx.Done():
			return
		case piece := <-buffer:
			wait(w.ctx, time.Duration(len(piece))*time.Second/slowRate)
			for w.stuck.Load() && w.ctx.Err() == nil {
				wait(w.ctx, time.Millisecond)
			}
			if w.ctx.Err() != nil {
				return
			}
			w.delivered.Add(uint64(len(piece)))
			if w.lost.Load() {
				continue
			}
			if _, err := to.Write(piece); err != nil {
				return
			}
		}
	}
}

// wait sleeps unless ctx ends before.
func wait(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// end is one end of a link.
type end struct {
	net.Conn
	out *wire
}

func (e end) Acknowledged() uint64 { return e.out.delivered.Load() }

func (e end) Close() error {
	e.out.cancel()
	return e.Conn.Close()
}

// slowLink joins two connections by a slow link, and gives the way there.
func slowLink(t *testing.T) (near, far net.Conn, there *wire) {
	here, nearEnd := net.Pipe()
	farEnd, away := net.Pipe()
	there, back := newWire(), newWire()
	near, far = end{here, there}, end{away, back}
	var carried sync.WaitGroup
	carried.Go(func() { there.carry(nearEnd, farEnd) })
	carried.Go(func() { back.carry(farEnd, nearEnd) })
	t.Cleanup(func() {
		_, _ = near.Close(), far.Close()
		carried.Wait()
	})
	return near, far, there
}
