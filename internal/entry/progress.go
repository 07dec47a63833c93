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
	// idleCheckAfter is how long no byte may be transferred in either direction before the
	// target is queried, over a new connection, whether it still has the request.
	idleCheckAfter = 500 * time.Millisecond
	// maxCheckInterval bounds the interval between two such queries about a request that the
	// target has. The interval doubles, so that a long run needs few queries.
	maxCheckInterval = 8 * time.Second
	// recheckAfter is the time allowed for an answer in transit to arrive before its exchange
	// is aborted.
	recheckAfter = 150 * time.Millisecond
	// maxAbsentReplies is how many replies in a row may report the request absent, and
	// maxUnansweredChecks how many queries in a row may fail, before the exchange is aborted.
	maxAbsentReplies, maxUnansweredChecks = 2, 3
)

// errUnresponsive ends an exchange whose connection is unresponsive.
var errUnresponsive = eris.New("the connection to the target is unresponsive")

// watch detects that the connection of an exchange with a remote guard no longer transfers
// data while new connections work. Otherwise the caller would wait until its deadline for an
// answer that was already sent. If no byte is transferred for a while, the target is queried
// over a new connection. If it no longer has the request, or can't be queried, the exchange is
// aborted. Whether the request is then retried or its outcome is queried depends on its kind.
type watch struct {
	entry  *Entry
	target *pick.Target
	query  wire.Seal
	ctx    context.Context
	cancel context.CancelCauseFunc
	// lastProgress is when a byte was last transferred, in nanoseconds since the node's start.
	lastProgress atomic.Int64
	// readerPending is true while the entry isn't reading from the target, because the bytes
	// received so far are still being written to a slow caller.
	readerPending atomic.Bool
	mu            sync.Mutex
	timer         *time.Timer
	closed        bool
	// These are used by the checks, of which one runs at a time: their results, and the next
	// interval.
	absent, unanswered int
	checkInterval      time.Duration
}

// watch starts to monitor an exchange. stop must be called at its end.
func (e *Entry) watch(ctx context.Context, t *pick.Target, out *http.Request) *watch {
	w := &watch{entry: e, target: t, query: attemptQuery(out), checkInterval: idleCheckAfter}
	w.ctx, w.cancel = context.WithCancelCause(ctx)
	w.touch()
	// The lock prevents a check from running before timer is set, if the process is paused
	// here.
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(idleCheckAfter, w.check)
	return w
}

// attemptQuery returns the query about the request in out.
func attemptQuery(out *http.Request) wire.Seal {
	q := wire.Seal{AskOnly: true, Attempt: out.Header.Get(headers.Exchange)}
	for _, name := range []string{headers.Attempt, headers.Collect} {
		if id := out.Header.Get(name); id != "" {
			q.Attempt = id
			q.Incarnation = incarnationOf(out.Header)
		}
	}
	return q
}

func (w *watch) touch() { w.lastProgress.Store(int64(w.entry.now())) }

func (w *watch) idleTime() time.Duration {
	if w.readerPending.Load() {
		return 0
	}
	return w.entry.now() - time.Duration(w.lastProgress.Load())
}

func (w *watch) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.closed = true
	w.timer.Stop()
	w.cancel(nil)
}

// unresponsive reports whether the exchange was aborted because its connection was
// unresponsive.
func (w *watch) unresponsive() bool { return context.Cause(w.ctx) == errUnresponsive }

func (w *watch) schedule(after time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.closed {
		w.timer.Reset(after)
	}
}

// check queries the target if there is no progress. It runs on its own goroutine, one at a
// time.
func (w *watch) check() {
	if quiet := w.idleTime(); quiet < idleCheckAfter && (w.readerPending.Load() || w.absent+w.unanswered == 0) {
		w.checkInterval, w.absent, w.unanswered = idleCheckAfter, 0, 0
		w.schedule(idleCheckAfter - quiet)
		return
	}
	before := w.lastProgress.Load()
	w.entry.counters.ProgressChecks.Add(1)
	reply, err := w.entry.queryAttempt(w.ctx, w.target, &w.query)
	switch {
	case w.ctx.Err() != nil:
		return
	case w.lastProgress.Load() != before || w.readerPending.Load():
		w.absent, w.unanswered = 0, 0
		w.schedule(idleCheckAfter)
	case err != nil:
		w.unanswered++
		w.abortIf(w.unanswered >= maxUnansweredChecks)
	case reply.State == wire.AttemptRunning || reply.State == wire.AttemptWaiting:
		w.absent, w.unanswered = 0, 0
		w.checkInterval = min(2*w.checkInterval, maxCheckInterval)
		w.schedule(w.checkInterval)
	default:
		w.absent++
		w.abortIf(w.absent >= maxAbsentReplies || reply.State == wire.AttemptOtherIncarnation)
	}
}

func (w *watch) abortIf(abort bool) {
	if !abort {
		w.schedule(recheckAfter)
		return
	}
	w.entry.counters.UnresponsiveConnections.Add(1)
	w.entry.remote.Drop(w.target.Guard)
	w.cancel(errUnresponsive)
}

// wrapRequestBody wraps the request's body so that its bytes count as progress.
func (w *watch) wrapRequestBody(body io.ReadCloser) io.ReadCloser {
	if body == nil || body == http.NoBody {
		return body
	}
	return &watchedBody{ReadCloser: body, watch: w}
}

// wrapAnswerBody wraps the answer's body so that its bytes count as progress and its end stops the
// watch.
func (w *watch) wrapAnswerBody(body io.ReadCloser) io.ReadCloser {
	w.readerPending.Store(true)
	return &watchedBody{ReadCloser: body, watch: w, isAnswer: true}
}

type watchedBody struct {
	io.ReadCloser
	watch    *watch
	isAnswer bool
}

func (b *watchedBody) Read(p []byte) (int, error) {
	if b.isAnswer {
		b.watch.touch()
		b.watch.readerPending.Store(false)
		defer b.watch.readerPending.Store(true)
	}
	n, err := b.ReadCloser.Read(p)
	b.watch.touch()
	if err != nil && b.isAnswer {
		b.watch.stop()
	}
	return n, err
}

func (b *watchedBody) Close() error {
	err := b.ReadCloser.Close()
	if b.isAnswer {
		b.watch.stop()
	}
	return err
}

// exchangeID returns a new id for sending an idempotent request to one target.
func (e *Entry) exchangeID() string {
	return attempt.ExchangeID(e.name + "-" + formatUint(e.exchanges.Add(1)))
}
