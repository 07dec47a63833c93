package progress

import (
	"io"
	"time"
)

// Pace is the minimum pace of a transfer. Without it, a sender that sends a byte from time
// to time would never count as stalled and could keep a transfer open indefinitely.
type Pace struct {
	// StallTimeout is how long one piece may take, and how far the whole transfer may lag
	// behind BytesPerSecond.
	StallTimeout time.Duration
	// BytesPerSecond is the minimum rate.
	BytesPerSecond int64
}

// NextTimeout returns how long the next piece may take after the given number of bytes was
// received in the given time. It returns 0 if the transfer is too slow.
func (p Pace) NextTimeout(bytes int64, took time.Duration) time.Duration {
	earned := time.Duration(bytes) * time.Second / time.Duration(p.BytesPerSecond)
	return max(0, min(p.StallTimeout, p.StallTimeout+earned-took))
}

// PacedReader returns a reader of r that feeds the Watchdog as long as r keeps the pace.
func (w *Watchdog) PacedReader(r io.Reader, p Pace) io.Reader {
	w.Feed(p.StallTimeout)
	return &pacedReader{source: r, watchdog: w, pace: p, start: time.Now()}
}

type pacedReader struct {
	source   io.Reader
	watchdog *Watchdog
	pace     Pace
	start    time.Time
	read     int64
}

// Read implements io.Reader.
func (r *pacedReader) Read(b []byte) (int, error) {
	n, err := r.source.Read(b)
	if n > 0 {
		r.read += int64(n)
		r.watchdog.Feed(r.pace.NextTimeout(r.read, time.Since(r.start)))
	}
	return n, err
}
