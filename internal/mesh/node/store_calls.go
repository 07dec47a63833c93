package node

import (
	"sync/atomic"
	"time"

	"github.com/limpetdock/limpetdock/internal/decision"
	"github.com/limpetdock/limpetdock/internal/metrics"
)

// StoreCause is why a call to the platform's store is made.
type StoreCause string

// The causes.
const (
	// StoreLook looks for other nodes at one that knows nothing yet. The answer may be
	// old, which costs less.
	StoreLook StoreCause = "look"
	// StoreStart reads everything at a node that knows nothing yet.
	StoreStart StoreCause = "start"
	// StoreReread reads everything again, where a watch can't tell what has changed.
	StoreReread StoreCause = "reread"
	// StoreWatch waits for changes.
	StoreWatch StoreCause = "watch"
	// StoreCatchUp asks at once for changes that another node knows of.
	StoreCatchUp StoreCause = "catch_up"
	// StoreRetry follows a call that failed.
	StoreRetry StoreCause = "retry"
	// StoreProbe finds out whether a store that is away answers again. The answer may be
	// old, which costs less.
	StoreProbe StoreCause = "probe"
)

// StoreCauses are all causes.
var StoreCauses = []StoreCause{StoreLook, StoreStart, StoreReread, StoreWatch, StoreCatchUp, StoreRetry, StoreProbe}

// StoreCall is a call to the platform's store that has ended.
type StoreCall struct {
	Cause StoreCause
	// Query is the call's path and query.
	Query string
	// Took is the time until the call ended, and AnswerAfter that until its answer
	// began; 0 says that none did.
	Took, AnswerAfter time.Duration
	// Bytes is how much of the answer's body came.
	Bytes int
	// Err is nil for an answer that could be used.
	Err error
}

// largeAnswer is the size from which on an answer has a line of its own, in bytes: it
// takes a noticeable time on a slow link.
const largeAnswer = 64 << 10

// storeCalls measures and logs calls to the store.
type storeCalls struct {
	log     *decision.Log
	metrics *metrics.Metrics
	// received counts the bytes of answers, also of those that were given up.
	received atomic.Uint64
}

func newStoreCalls(log *decision.Log, m *metrics.Metrics) *storeCalls {
	return &storeCalls{log: log, metrics: m}
}

// observe takes a call that has ended. Calls are few; failed ones come at most every
// tenth of a second.
func (s *storeCalls) observe(c StoreCall) {
	s.received.Add(uint64(c.Bytes))
	if c.AnswerAfter > 0 {
		s.metrics.StoreAnswer(c.Err == nil, c.Took-c.AnswerAfter)
	}
	fields := []any{
		"cause", c.Cause, "query", c.Query, "took_ms", c.Took.Milliseconds(),
		"answer_after_ms", c.AnswerAfter.Milliseconds(), "bytes", c.Bytes,
	}
	switch {
	case c.Err != nil:
		s.log.Trouble("call to the store failed", append(fields, "error", c.Err.Error())...)
	case c.Bytes >= largeAnswer:
		s.log.Change("large answer of the store", fields...)
	}
}
