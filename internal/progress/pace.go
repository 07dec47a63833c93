package progress

import (
	"io"
	"time"
)

// Pace is the least pace of a transfer. A sender that gives a byte now and then never
// stands still, and would otherwise be waited for without end.
type Pace struct {
	// Stall is how long one piece may take, and how far the whole may fall behind Rate.
	Stall time.Duration
	// Rate is the least rate, in bytes per second.
	Rate int64
}

// Next says how long the next piece may take once so many bytes have come in so much
// time; 0 is a transfer that is too slow.
func (p Pace) Next(bytes int64, took time.Duration) time.Duration {
	earned := time.Duration(bytes) * time.Second / time.Duration(p.Rate)
	return max(0, min(p.Stall, p.Stall+earned-took))
}

// Paced returns a reader of r that feeds the Watchdog as long as r keeps the pace.
func (w *Watchdog) Paced(r io.Reader, p Pace) io.Reader {
	w.Feed(p.Stall)
	return &pacedReader{from: r, watchdog: w, pace: p, begun: time.Now()}
}

type pacedReader struct {
	from     io.Reader
	watchdog *Watchdog
	pace     Pace
	begun    time.Time
	read     int64
}

// Read implements io.Reader.
func (r *pacedReader) Read(b []byte) (int, error) {
	n, err := r.from.Read(b)
	if n > 0 {
		r.read += int64(n)
		r.watchdog.Feed(r.pace.Next(r.read, time.Since(r.begun)))
	}
	return n, err
}
