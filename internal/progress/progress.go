// Package progress bounds how long a transfer may stand still. How long it takes as a
// whole depends on its size and on the link, so that a limit on the whole would fail the
// same transfer again and again on a slow link.
package progress

import (
	"context"
	"io"
	"time"

	"github.com/rotisserie/eris"
)

// ErrStalled is the cause of a context that ended because nothing came in time.
var ErrStalled = eris.New("nothing came in time")

// Watchdog ends a context when nothing comes for a while. Its methods may be called by
// one goroutine at a time.
type Watchdog struct {
	timer *time.Timer
	stop  context.CancelCauseFunc
}

// Watch returns a context that ends with ErrStalled unless the Watchdog is fed within
// the time given. Stop must be called when the transfer is over.
func Watch(ctx context.Context, within time.Duration) (context.Context, *Watchdog) {
	ctx, stop := context.WithCancelCause(ctx)
	w := &Watchdog{stop: stop}
	w.timer = time.AfterFunc(within, func() { stop(ErrStalled) })
	return ctx, w
}

// Feed says that something came, and that more is due within the time given.
func (w *Watchdog) Feed(within time.Duration) { w.timer.Reset(within) }

// Stop ends the watch and its context.
func (w *Watchdog) Stop() {
	w.timer.Stop()
	w.stop(nil)
}

// Reader returns a reader of r that feeds the Watchdog with each piece: the next one is
// due within the time given.
func (w *Watchdog) Reader(r io.Reader, within time.Duration) io.Reader {
	w.Feed(within)
	return &reader{from: r, watchdog: w, within: within}
}

type reader struct {
	from     io.Reader
	watchdog *Watchdog
	within   time.Duration
}

// Read implements io.Reader.
func (r *reader) Read(b []byte) (int, error) {
	n, err := r.from.Read(b)
	if n > 0 {
		r.watchdog.Feed(r.within)
	}
	return n, err
}
