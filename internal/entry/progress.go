package entry

import (
	"context"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/limpetdock/limpetdock/internal/attempt"
	"github.com/limpetdock/limpetdock/internal/headers"
	"github.com/limpetdock/limpetdock/internal/pick"
	"github.com/limpetdock/limpetdock/internal/wire"
)

const (
	// quietFor is how long no byte may move in either direction before the
	// target is asked, over a new connection, whether the request is still there.
	quietFor = 500 * time.Millisecond
	// maxQuiet bounds the pause between two such questions about a request
	// that is; the pause doubles, so a long run costs few of them.
	maxQuiet = 8 * time.Second
	// recheckAfter lets an answer that was on its way arrive before its
	// exchange is given up.
	recheckAfter = 150 * time.Millisecond
	// maxMissed is how many questions in a row may find the request gone, and
	// maxUnheard how many may find nobody to ask.
	maxMissed, maxUnheard = 2, 3
)

// errSilent ends an exchange whose connection has gone silent.
var errSilent = eris.New("the connection to the target has gone silent")

// watch guards one exchange with a remote guard against a connection that goes
// silent for good while new ones work: the caller would wait until its deadline
// for an answer that was given long ago. When nothing has moved for a while
// the target is asked over a new connection. If it no longer has the request in
// hand, or can't be asked, the exchange is ended; what then becomes of the
// request is up to its kind.
type watch struct {
	entry  *Entry
	target *pick.Target
	ask    wire.Seal
	ctx    context.Context
	cancel context.CancelCauseFunc
	// moved is when a byte last moved, in nanoseconds since the node's start.
	moved atomic.Int64
	// unread says that nobody waits for the target: what it has sent so far is
	// still being handed to a caller who reads slowly.
	unread atomic.Bool
	mu     sync.Mutex
	timer  *time.Timer
	closed bool
	// Of the checks, one at a time: what they found, and the next pause.
	missed, unheard int
	pause           time.Duration
}

// watch starts to look after an exchange. stop must be called at its end.
func (e *Entry) watch(ctx context.Context, t *pick.Target, out *http.Request) *watch {
	w := &watch{entry: e, target: t, ask: asking(out), pause: quietFor}
	w.ctx, w.cancel = context.WithCancelCause(ctx)
	w.touch()
	// The lock keeps a check from running ahead when the process is paused here.
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(quietFor, w.check)
	return w
}

// asking gives the question about the request that out carries.
func asking(out *http.Request) wire.Seal {
	q := wire.Seal{AskOnly: true, Attempt: out.Header.Get(headers.Exchange)}
	for _, name := range []string{headers.Attempt, headers.Collect} {
		if id := out.Header.Get(name); id != "" {
			q.Attempt = id
			q.Incarnation = incarnationOf(out.Header)
		}
	}
	return q
}

func (w *watch) touch() { w.moved.Store(int64(w.entry.now())) }

func (w *watch) quiet() time.Duration {
	if w.unread.Load() {
		return 0
	}
	return w.entry.now() - time.Duration(w.moved.Load())
}

func (w *watch) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.closed = true
	w.timer.Stop()
	w.cancel(nil)
}

// silent says whether the exchange was ended because of silence.
func (w *watch) silent() bool { return context.Cause(w.ctx) == errSilent }

func (w *watch) again(after time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.closed {
		w.timer.Reset(after)
	}
}

// check runs on a goroutine of its own, one at a time.
func (w *watch) check() {
	if quiet := w.quiet(); quiet < quietFor && (w.unread.Load() || w.missed+w.unheard == 0) {
		w.pause, w.missed, w.unheard = quietFor, 0, 0
		w.again(quietFor - quiet)
		return
	}
	before := w.moved.Load()
	w.entry.counters.Checks.Add(1)
	reply, err := w.entry.ask(w.ctx, w.target, &w.ask)
	switch {
	case w.ctx.Err() != nil:
		return
	case w.moved.Load() != before || w.unread.Load():
		w.missed, w.unheard = 0, 0
		w.again(quietFor)
	case err != nil:
		w.unheard++
		w.giveUpOr(w.unheard >= maxUnheard)
	case reply.State == wire.AttemptRunning || reply.State == wire.AttemptWaiting:
		w.missed, w.unheard = 0, 0
		w.pause = min(2*w.pause, maxQuiet)
		w.again(w.pause)
	default:
		w.missed++
		w.giveUpOr(w.missed >= maxMissed || reply.State == wire.AttemptElsewhere)
	}
}

func (w *watch) giveUpOr(give bool) {
	if !give {
		w.again(recheckAfter)
		return
	}
	w.entry.counters.Silent.Add(1)
	w.entry.remote.Drop(w.target.Guard)
	w.cancel(errSilent)
}

// request makes the bytes of the request's body count as progress.
func (w *watch) request(body io.ReadCloser) io.ReadCloser {
	if body == nil || body == http.NoBody {
		return body
	}
	return &watchedBody{ReadCloser: body, watch: w}
}

// answer makes the bytes of the answer count as progress, and its end stop the watch.
func (w *watch) answer(body io.ReadCloser) io.ReadCloser {
	w.unread.Store(true)
	return &watchedBody{ReadCloser: body, watch: w, last: true}
}

type watchedBody struct {
	io.ReadCloser
	watch *watch
	last  bool
}

func (b *watchedBody) Read(p []byte) (int, error) {
	if b.last {
		b.watch.touch()
		b.watch.unread.Store(false)
		defer b.watch.unread.Store(true)
	}
	n, err := b.ReadCloser.Read(p)
	b.watch.touch()
	if err != nil && b.last {
		b.watch.stop()
	}
	return n, err
}

func (b *watchedBody) Close() error {
	err := b.ReadCloser.Close()
	if b.last {
		b.watch.stop()
	}
	return err
}

// exchangeID names an idempotent request on its way to one target.
func (e *Entry) exchangeID() string {
	return attempt.ExchangeID(e.name + "-" + formatUint(e.exchanges.Add(1)))
}
