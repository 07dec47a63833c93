package peer

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/limpetdock/limpetdock/internal/progress"
)

// decodeTimeout bounds how long a received answer may take to be decoded before another
// node is queried.
const decodeTimeout = 3 * time.Second

// answerPace is the minimum pace of an answer. The answer may be queued behind requests of
// the same node, so all received bytes count. The rate is higher than what small requests
// reach, and lower than the share of a slow link that is left when many connections use it.
var answerPace = progress.Pace{StallTimeout: time.Second, BytesPerSecond: 16 << 10}

// bootstrapper queries nodes that dial this one for their whole state while this node has
// none. It queries one at a time: concurrent answers would share the node's link with each
// other and with its own read of the store, and the first would arrive as late as the last.
type bootstrapper struct {
	needsState func() bool
	stopped    atomic.Bool
	// turn is a semaphore held by the connection that is being queried.
	turn chan struct{}
}

func newBootstrapper(needsState func() bool) *bootstrapper {
	return &bootstrapper{needsState: needsState, turn: make(chan struct{}, 1)}
}

// active reports whether this node still needs a state and may query for it.
func (b *bootstrapper) active() bool { return !b.stopped.Load() && b.needsState() }

// stop prevents further queries.
func (b *bootstrapper) stop() { b.stopped.Store(true) }

// query waits for the connection's turn, sends the query, and keeps the turn until the node
// at the other end has answered or has timed out. ctx ends with the connection.
func (b *bootstrapper) query(ctx context.Context, c *serverConn) {
	select {
	case b.turn <- struct{}{}:
	case <-ctx.Done():
		return
	}
	defer func() { <-b.turn }()
	if !b.active() {
		return
	}
	waiting, watchdog := progress.Watch(ctx, answerPace.StallTimeout)
	c.query.start(watchdog)
	defer c.query.finish()
	if c.sendFrame(frameStateQuery, 0, &stateQueryBody{Whole: true}) {
		<-waiting.Done()
	}
}

// pendingQuery tracks the query for the whole state that was sent over a connection. Bytes
// and answers are ignored unless a query is outstanding. Safe for concurrent use.
type pendingQuery struct {
	mu sync.Mutex
	// watchdog ends the wait for the answer; nil unless a query is outstanding.
	watchdog  *progress.Watchdog
	startedAt time.Time
	// receivedBytes counts the bytes received since the query was sent, and answered is
	// true once the answer is among them.
	receivedBytes int64
	answered      bool
}

// start records that a query is sent.
func (q *pendingQuery) start(w *progress.Watchdog) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.watchdog, q.startedAt = w, time.Now()
}

// finish ends the wait for the answer.
func (q *pendingQuery) finish() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.watchdog.Stop()
	q.watchdog = nil
}

// received records bytes that were received from the queried node.
func (q *pendingQuery) received(bytes int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.watchdog == nil || q.answered {
		return
	}
	q.receivedBytes += int64(bytes)
	q.watchdog.Feed(answerPace.NextTimeout(q.receivedBytes, time.Since(q.startedAt)))
}

// handleState passes an answer on; false closes the connection. A state that isn't empty
// takes a while to take effect.
func (q *pendingQuery) handleState(to *StateSync, answer []byte) bool {
	q.extend(decodeTimeout)
	ok := to.apply(answer)
	settle := answerPace.StallTimeout
	if len(answer) == 0 {
		settle = 0
	}
	q.extend(settle)
	return ok
}

// extend records that the answer was received and has the given time to take effect.
func (q *pendingQuery) extend(timeout time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.watchdog == nil {
		return
	}
	q.answered = true
	q.watchdog.Feed(timeout)
}
