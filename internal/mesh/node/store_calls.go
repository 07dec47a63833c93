package node

import (
	"sync/atomic"
	"time"

	"github.com/limpetdock/limpetdock/internal/decision"
	"github.com/limpetdock/limpetdock/internal/metrics"
)

// StoreCause is the reason for a call to the platform's store.
type StoreCause string

// The causes of calls.
const (
	// StoreDiscover looks up other nodes for a node that has no state. The answer may be
	// stale, which costs less.
	StoreDiscover StoreCause = "look"
	// StoreInitialRead reads everything on a node that has no state.
	StoreInitialRead StoreCause = "start"
	// StoreReread reads everything again when a watch can't deliver the changes.
	StoreReread StoreCause = "reread"
	// StoreWatch waits for changes.
	StoreWatch StoreCause = "watch"
	// StoreCatchUp requests changes reported by another node, without waiting.
	StoreCatchUp StoreCause = "catch_up"
	// StoreRetry follows a failed call.
	StoreRetry StoreCause = "retry"
	// StoreProbe checks whether an unavailable store answers again. The answer may be
	// stale, which costs less.
	StoreProbe StoreCause = "probe"
)

// StoreCauses are all causes.
var StoreCauses = []StoreCause{StoreDiscover, StoreInitialRead, StoreReread, StoreWatch, StoreCatchUp, StoreRetry, StoreProbe}

// StoreCall is a completed call to the platform's store.
type StoreCall struct {
	Cause StoreCause
	// Query is the call's path and query.
	Query string
	// Took is the duration of the call, and AnswerAfter the time until the first byte of
	// the answer, 0 if there was none.
	Took, AnswerAfter time.Duration
	// Bytes is how much of the answer's body was received.
	Bytes int
	// Err is nil if the answer was usable.
	Err error
}

// largeAnswerBytes is the size, in bytes, from which an answer is logged: on a slow link it
// takes a noticeable time.
const largeAnswerBytes = 64 << 10

// storeCalls measures and logs calls to the store.
type storeCalls struct {
	log     *decision.Log
	metrics *metrics.Metrics
	// received counts the bytes of answers, including aborted ones.
	received atomic.Uint64
}

func newStoreCalls(log *decision.Log, m *metrics.Metrics) *storeCalls {
	return &storeCalls{log: log, metrics: m}
}

// observe records a completed call. It may log every failure: calls are few, and failed ones
// are at least a tenth of a second apart.
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
		s.log.Warn("call to the store failed", append(fields, "error", c.Err.Error())...)
	case c.Bytes >= largeAnswerBytes:
		s.log.Event("large answer of the store", fields...)
	}
}
