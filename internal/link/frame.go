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
	// frameTimeout bounds how long a frame may stand still once it has begun; a
	// half-sent frame must not hold a goroutine for good. The whole has no limit of its
	// own: how long it takes depends on its size and on the link.
	frameTimeout = 2 * time.Second
	// pieceBytes is how much of a frame is to be written within frameTimeout.
	pieceBytes = 8 << 10
)

// pace is that of a frame which has begun.
var pace = progress.Pace{Stall: frameTimeout, Rate: pieceBytes / 2}

// frameReader reads one frame that keeps the pace. Its beginning is up to the read
// deadline that conn has.
type frameReader struct {
	ctx      context.Context
	conn     net.Conn
	counters *Counters
	begun    time.Time
	read     int64
}

func (r *frameReader) Read(p []byte) (int, error) {
	// The end of ctx sets a deadline in the past, which the one below may have replaced.
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
		r.begun = now
	}
	r.read += int64(n)
	_ = r.conn.SetReadDeadline(now.Add(pace.Next(r.read, now.Sub(r.begun))))
	return n, err
}

// frameWriter writes a frame in pieces that each have to be taken within stall.
type frameWriter struct {
	ctx   context.Context
	conn  net.Conn
	stall time.Duration
}

func (w *frameWriter) Write(p []byte) (n int, err error) {
	for piece := range slices.Chunk(p, pieceBytes) {
		_ = w.conn.SetWriteDeadline(time.Now().Add(w.stall))
		if err := w.ctx.Err(); err != nil {
			return n, err
		}
		sent, err := w.conn.Write(piece)
		n += sent
		if err != nil {
			return n, err
		}
	}
	return n, nil
}

// write writes m in a frame that may stand still for frameTimeout, or less if the
// answer to it has less time to begin.
func write(ctx context.Context, conn net.Conn, m wire.Message, within time.Duration, c *Counters) error {
	n, err := wire.Write(&frameWriter{ctx, conn, min(within, frameTimeout)}, m)
	c.Sent.Add(uint64(n))
	return err
}
