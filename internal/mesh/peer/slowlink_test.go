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
	// slowRate is the rate of a link of 10 Mbit/s, in bytes per second.
	slowRate = 10_000_000 / 8
	// slowChunk is how many bytes such a link carries at a time, and slowBuffer how many
	// chunks the kernel buffers before they are sent.
	slowChunk  = 4 << 10
	slowBuffer = 256
)

// wire is one direction of an in-memory link.
type wire struct {
	// ctx ends when the sending end is closed.
	ctx       context.Context
	cancel    context.CancelFunc
	delivered atomic.Uint64
	// lost makes it accept bytes and deliver none; stuck makes it accept none once its
	// buffer is full.
	lost, stuck atomic.Bool
}

func newWire() *wire {
	w := &wire{}
	w.ctx, w.cancel = context.WithCancel(context.Background())
	return w
}

// transfer moves bytes from one end to the other until either is closed.
func (w *wire) transfer(from, to net.Conn) {
	buffer := make(chan []byte, slowBuffer)
	go w.deliver(buffer, to)
	for w.ctx.Err() == nil {
		chunk := make([]byte, slowChunk)
		n, err := from.Read(chunk)
		if err != nil {
			break
		}
		select {
		case buffer <- chunk[:n]:
		case <-w.ctx.Done():
		}
	}
	w.cancel()
	_ = from.Close()
}

// deliver writes the buffered chunks at slowRate.
func (w *wire) deliver(buffer <-chan []byte, to net.Conn) {
	defer func() {
		w.cancel()
		_ = to.Close()
	}()
	for {
		select {
		case <-w.ctx.Done():
			return
		case chunk := <-buffer:
			wait(w.ctx, time.Duration(len(chunk))*time.Second/slowRate)
			for w.stuck.Load() && w.ctx.Err() == nil {
				wait(w.ctx, time.Millisecond)
			}
			if w.ctx.Err() != nil {
				return
			}
			w.delivered.Add(uint64(len(chunk)))
			if w.lost.Load() {
				continue
			}
			if _, err := to.Write(chunk); err != nil {
				return
			}
		}
	}
}

// wait sleeps for d or until ctx ends.
func wait(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// linkEnd is one end of a link.
type linkEnd struct {
	net.Conn
	out *wire
}

func (e linkEnd) Acknowledged() uint64 { return e.out.delivered.Load() }

func (e linkEnd) Close() error {
	e.out.cancel()
	return e.Conn.Close()
}

// slowLink returns two connections joined by a slow link, and the direction from near to far.
func slowLink(t *testing.T) (near, far net.Conn, outbound *wire) {
	nearConn, nearEnd := net.Pipe()
	farEnd, farConn := net.Pipe()
	outbound, inbound := newWire(), newWire()
	near, far = linkEnd{nearConn, outbound}, linkEnd{farConn, inbound}
	var carried sync.WaitGroup
	carried.Go(func() { outbound.transfer(nearEnd, farEnd) })
	carried.Go(func() { inbound.transfer(farEnd, nearEnd) })
	t.Cleanup(func() {
		_, _ = near.Close(), far.Close()
		carried.Wait()
	})
	return near, far, outbound
}
