package link

import (
	"context"
	"net"
	"slices"
	"time"

	"github.com/limpetdock/limpetdock/internal/progress"
	"github.com/limpetdock/limpetdock/internal/wire"
)

const (
	// frameTimeout is how long a frame that has begun may make no progress, so that a
	// partially sent frame doesn't block a goroutine forever. There is no limit for
	// the whole frame, because its time depends on its size and on the link.
	frameTimeout = 2 * time.Second
	// chunkBytes is the part of a frame that must be written within frameTimeout.
	chunkBytes = 8 << 10
)

// pace is the minimum progress of a frame that has begun.
var pace = progress.Pace{StallTimeout: frameTimeout, BytesPerSecond: chunkBytes / 2}

// frameReader reads one frame and enforces its pace. The first byte must arrive
// before the read deadline already set on conn.
type frameReader struct {
	ctx      context.Context
	conn     net.Conn
	counters *Counters
	start    time.Time
	read     int64
}

func (r *frameReader) Read(p []byte) (int, error) {
	// When ctx ends, a deadline in the past is set, which the call below may have
	// overwritten.
	if err := r.ctx.Err(); err != nil {
		return 0, err
	}
	n, err := r.conn.Read(p)
	r.counters.Received.Add(uint64(n))
	if n == 0 {
		return n, err
	}
	now := time.Now()
	if r.read == 0 {
		r.start = now
	}
	r.read += int64(n)
	_ = r.conn.SetReadDeadline(now.Add(pace.NextTimeout(r.read, now.Sub(r.start))))
	return n, err
}

// frameWriter writes a frame in chunks; each chunk must be written within stall.
type frameWriter struct {
	ctx   context.Context
	conn  net.Conn
	stall time.Duration
}

func (w *frameWriter) Write(p []byte) (n int, err error) {
	for chunk := range slices.Chunk(p, chunkBytes) {
		_ = w.conn.SetWriteDeadline(time.Now().Add(w.stall))
		if err := w.ctx.Err(); err != nil {
			return n, err
		}
		sent, err := w.conn.Write(chunk)
		n += sent
		if err != nil {
			return n, err
		}
	}
	return n, nil
}

// write writes the frame of m. The frame may make no progress for frameTimeout, or
// for less if the reply must begin sooner.
func write(ctx context.Context, conn net.Conn, m wire.Message, within time.Duration, c *Counters) error {
	n, err := wire.Write(&frameWriter{ctx, conn, min(within, frameTimeout)}, m)
	c.Sent.Add(uint64(n))
	return err
}
