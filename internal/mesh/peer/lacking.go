package peer

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/limpetdock/limpetdock/internal/progress"
)

// takeWithin bounds how long an answer that has arrived may take to be decoded before
// another node is asked.
const takeWithin = 3 * time.Second

// askPace is the least pace of an answer. It may stand behind requests of the same node, so
// that all bytes count; the rate is one that small requests don't reach, and that is left
// of a slow link which is shared with many.
var askPace = progress.Pace{Stall: time.Second, Rate: 16 << 10}

// lacking asks nodes that dial this one for all they know, while nothing is known here. It
// asks one at a time: the answers of all of them would share the node's link with each other
// and with its own read of the store, and the first would be there as late as the last.
type lacking struct {
	lacks   func() bool
	stopped atomic.Bool
	// turn is held by the connection that is asked.
	turn chan struct{}
}

func newLacking(lacks func() bool) *lacking {
	return &lacking{lacks: lacks, turn: make(chan struct{}, 1)}
}

// wants says whether anybody is to be asked.
func (l *lacking) wants() bool { return !l.stopped.Load() && l.lacks() }

// stop has nobody asked any more.
func (l *lacking) stop() { l.stopped.Store(true) }

// ask waits for the turn of a connection, asks, and keeps the turn until the node at the
// other end has answered or is given up. ctx ends with the connection.
func (l *lacking) ask(ctx context.Context, c *serverConn) {
	select {
	case l.turn <- struct{}{}:
	case <-ctx.Done():
		return
	}
	defer func() { <-l.turn }()
	if !l.wants() {
		return
	}
	waiting, watchdog := progress.Watch(ctx, askPace.Stall)
	c.question.begin(watchdog)
	defer c.question.end()
	if c.reply(frameAsk, 0, &askBody{Whole: true}) {
		<-waiting.Done()
	}
}

// question is the one that a node is asked for all it knows. It does nothing unless it is
// out. Safe for concurrent use.
type question struct {
	mu sync.Mutex
	// watchdog ends the wait for the answer; nil unless the question is out.
	watchdog *progress.Watchdog
	begun    time.Time
	// heard is how many bytes came since, and arrived says that the answer is among them.
	heard   int64
	arrived bool
}

// begin notes that the question is asked.
func (q *question) begin(w *progress.Watchdog) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.watchdog, q.begun = w, time.Now()
}

// end ends the wait.
func (q *question) end() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.watchdog.Stop()
	q.watchdog = nil
}

// hear notes bytes of the node that was asked.
func (q *question) hear(bytes int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.watchdog == nil || q.arrived {
		return
	}
	q.heard += int64(bytes)
	q.watchdog.Feed(askPace.Next(q.heard, time.Since(q.begun)))
}

// take hands the answer on; false ends the connection. An answer that tells something
// takes a while to be in force.
func (q *question) take(to *News, answer []byte) bool {
	q.expect(takeWithin)
	taken := to.take(answer)
	inForce := askPace.Stall
	if len(answer) == 0 {
		inForce = 0
	}
	q.expect(inForce)
	return taken
}

// expect notes that the answer has arrived, and that it is to be in force within a time.
func (q *question) expect(within time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.watchdog == nil {
		return
	}
	q.arrived = true
	q.watchdog.Feed(within)
}
