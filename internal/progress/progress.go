// Package progress bounds how long a transfer may make no progress. How long the whole
// transfer takes depends on its size and on the link, so that a limit on the whole would
// fail the same transfer again and again on a slow link.
package progress

import (
	"context"
	"io"
	"time"

	"github.com/rotisserie/eris"
)

// ErrStalled is the cause of a context that ended because no data was received in time.
var ErrStalled = eris.New("transfer stalled: no data received in time")

// Watchdog cancels a context if no data is received for a while. Its methods must not be
// called by several goroutines at a time.
type Watchdog struct {
	timer *time.Timer
	stop  context.CancelCauseFunc
}

// Watch returns a context that is cancelled with ErrStalled unless the Watchdog is fed
// within timeout. Stop must be called at the end of the transfer.
func Watch(ctx context.Context, timeout time.Duration) (context.Context, *Watchdog) {
	ctx, stop := context.WithCancelCause(ctx)
	w := &Watchdog{stop: stop}
	w.timer = time.AfterFunc(timeout, func() { stop(ErrStalled) })
	return ctx, w
}

// Feed reports that data was received, and that more is due within timeout.
func (w *Watchdog) Feed(timeout time.Duration) { w.timer.Reset(timeout) }

// Stop stops the Watchdog and cancels its context.
func (w *Watchdog) Stop() {
	w.timer.Stop()
	w.stop(nil)
}

// Reader returns a reader of r that feeds the Watchdog with each piece it reads. The next
// piece is due within timeout.
func (w *Watchdog) Reader(r io.Reader, timeout time.Duration) io.Reader {
	w.Feed(timeout)
	return &reader{source: r, watchdog: w, timeout: timeout}
}

type reader struct {
	source   io.Reader
	watchdog *Watchdog
	timeout  time.Duration
}

// Read implements io.Reader.
func (r *reader) Read(b []byte) (int, error) {
	n, err := r.source.Read(b)
	if n > 0 {
		r.watchdog.Feed(r.timeout)
	}
	return n, err
}
