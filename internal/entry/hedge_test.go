package entry_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetdock/limpetdock/fleet"
	"github.com/limpetdock/limpetdock/internal/budget"
	"github.com/limpetdock/limpetdock/internal/headers"
	"github.com/limpetdock/limpetdock/internal/kind"
	"github.com/limpetdock/limpetdock/internal/suspect"
)

// One of the two servers that have a copy of a read slows down, freezes or fails. The caller
// must receive one complete answer as soon as either server has sent one, and an error only if
// both failed.
func TestFirstUsableAnswerIsReturned(t *testing.T) {
	for name, c := range map[string]struct {
		handlers []func(hedgeAttempt)
		status   int
		body     string
		attempts int32
	}{
		"first copy freezes":                              {[]func(hedgeAttempt){freezes, answersWith("second")}, 200, "second", 2},
		"first answers, second is in flight":              {[]func(hedgeAttempt){afterSecondArrived(answersWith("first")), freezes}, 200, "first", 2},
		"second is refused":                               {[]func(hedgeAttempt){afterSecondFailed(answersWith("first")), refuses}, 200, "first", 2},
		"second is aborted":                               {[]func(hedgeAttempt){afterSecondFailed(answersWith("first")), breaks}, 200, "first", 2},
		"second's answer is truncated":                    {[]func(hedgeAttempt){afterSecondFailed(answersWith("first")), truncates}, 200, "first", 2},
		"second answers 500, first comes later":           {[]func(hedgeAttempt){afterSecondFailed(answersWith("first")), fails}, 200, "first", 2},
		"first answers 500, second comes later":           {[]func(hedgeAttempt){afterSecondArrived(fails), afterFirstEnded(answersWith("second"))}, 200, "second", 2},
		"first is aborted, second comes later":            {[]func(hedgeAttempt){afterSecondArrived(breaks), afterFirstEnded(answersWith("second"))}, 200, "second", 2},
		"first's answer is truncated, second is complete": {[]func(hedgeAttempt){afterSecondArrived(truncates), afterFirstEnded(answersWith("second"))}, 200, "second", 2},
		"both answer 500":                                 {[]func(hedgeAttempt){afterSecondArrived(fails), fails}, 500, "", 2},
		"first is aborted, second answers 500":            {[]func(hedgeAttempt){afterSecondArrived(breaks), fails}, 500, "", 2},
		"both are aborted, a third answers":               {[]func(hedgeAttempt){afterSecondArrived(breaks), breaks, answersWith("third")}, 200, "third", 3},
		"all are aborted":                                 {[]func(hedgeAttempt){afterSecondArrived(breaks), breaks}, 502, "", 3},
		"both are refused":                                {[]func(hedgeAttempt){afterSecondArrived(refuses), refuses}, 503, "", 3},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHedgeFixture(t, unchanged, c.handlers...)
			w := h.ask("GET", "")
			require.Equal(t, c.status, w.Code, w.Body)
			if c.body != "" {
				require.Equal(t, c.body, w.Body.String())
			}
			require.Equal(t, c.attempts, h.attempts.Load())
			require.EqualValues(t, 1, h.counts().Sent)
			require.Zero(t, h.inFlight(), "no copy is in flight")
		})
	}
}

// The first copy is refused while the second may have run. The outcome "not run" would be
// wrong.
func TestNotRunOutcomeCoversBothCopies(t *testing.T) {
	h := newHedgeFixture(t, func(s *fleet.Service) { s.Hops = 2 }, afterSecondFailed(refuses), breaks)
	require.Equal(t, string(kind.Unknown), h.ask("GET", "").Header().Get(headers.Outcome))
	h = newHedgeFixture(t, func(s *fleet.Service) { s.Hops = 2 }, afterSecondArrived(refuses), refuses)
	require.Equal(t, string(kind.NotRun), h.ask("GET", "").Header().Get(headers.Outcome))
}

// A long answer is streamed. Once a part of one copy's answer was sent to the caller, no part
// of the other may follow.
func TestStreamedAnswerComesFromOneCopy(t *testing.T) {
	const long = 200 << 10
	stream := func(letter string) func(hedgeAttempt) {
		return func(o hedgeAttempt) {
			answersWith(letter)(o)
			_ = http.NewResponseController(o).Flush()
			answersWith(strings.Repeat(letter, long-1))(o)
		}
	}
	for name, handlers := range map[string][]func(hedgeAttempt){
		"b": {freezes, stream("b")}, "a": {afterSecondArrived(stream("a")), freezes},
	} {
		h := newHedgeFixture(t, unchanged, handlers...)
		require.Equal(t, strings.Repeat(name, long), h.ask("GET", "").Body.String(), name)
	}
}

// A request crashes every server that runs it. When the first server dies, the second copy
// must be cancelled and the request must then run alone, as it would without hedging. At most
// two servers are lost, and both deaths are reported.
func TestCrashingReadIsNotHedgedAgain(t *testing.T) {
	var alone atomic.Int32
	third := func(o hedgeAttempt) {
		if o.r.Header.Get(headers.Suspect) != "" {
			alone.Add(1)
		}
		dies(o)
	}
	h := newHedgeFixture(t, unchanged, afterSecondArrived(dies), freezes, third)
	deaths := &deathCount{}
	h.entry.ReportSuspects(deaths)
	w := h.ask("GET", "")
	require.Equal(t, string(kind.BackendDied), w.Header().Get(headers.Kind))
	require.EqualValues(t, 3, h.attempts.Load())
	require.EqualValues(t, 1, alone.Load(), "after a death it runs alone")
	require.EqualValues(t, 2, deaths.Load())
}

type deathCount struct{ atomic.Int32 }

func (d *deathCount) Died(uint64, suspect.Death) { d.Add(1) }
func (*deathCount) Cleared(uint64)               {}

// slow answers after several times the hedge delay.
func slow(o hedgeAttempt) {
	select {
	case <-time.After(25 * time.Millisecond):
	case <-o.r.Context().Done():
	}
	answersWith("slow")(o)
}

// A non-idempotent request, a streamed upload, a request under a key, or one similar to those
// that crashed servers takes long. None of them may run in two places.
func TestRequestsThatAreNeverHedged(t *testing.T) {
	upload := strings.Repeat("x", 65<<10)
	for name, c := range map[string]struct {
		change       func(*fleet.Service)
		method, body string
		pairs        []string
	}{
		"at most once":     {unchanged, "POST", "", nil},
		"under a key":      {unchanged, "PUT", "", []string{headers.IdempotencyKey, "basket-7"}},
		"a streamed body":  {unchanged, "PUT", upload, nil},
		"no retries left":  {unchanged, "GET", "", []string{headers.RetriesLeft, "0"}},
		"caused by a copy": {unchanged, "GET", "", []string{headers.RetriesLeft, "1"}},
		"disabled":         {func(s *fleet.Service) { s.HedgePercent = 0 }, "GET", "", nil},
		"only one target":  {func(s *fleet.Service) { s.Targets = s.Targets[:1] }, "GET", "", nil},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHedgeFixture(t, c.change, slow)
			h.ask(c.method, c.body, c.pairs...)
			require.Zero(t, h.counts().Sent)
		})
	}
	t.Run("a suspect", func(t *testing.T) {
		h := newHedgeFixture(t, unchanged, slow)
		r := httptest.NewRequest("GET", "/x", nil)
		r.Header.Set(headers.Service, "orders")
		view := *h.view
		view.Suspects = suspect.Set{suspect.Fingerprint("orders", r, nil): {Level: suspect.Suspected, Until: time.Hour}}
		h.entry.SetView(&view)
		h.ask("GET", "")
		require.EqualValues(t, 1, h.attempts.Load())
	})
	t.Run("a buffered body", func(t *testing.T) {
		h := newHedgeFixture(t, unchanged, freezes, answersWith("second"))
		require.Equal(t, "second", h.ask("PUT", "small").Body.String(), "hedged, for comparison")
	})
}

// All servers of a service slow down at once. Copies of all requests would double the load;
// copies of 5 % of them don't.
func TestHedgesAreLimitedToShareOfTraffic(t *testing.T) {
	h := newHedgeFixture(t, unchanged, slow)
	const requests, reserve = 400, 10
	var wg sync.WaitGroup
	for range 20 {
		wg.Go(func() {
			for range requests / 20 {
				r := httptest.NewRequest("GET", "/x", nil)
				r.Header.Set(headers.Service, "orders")
				h.entry.ServeHTTP(httptest.NewRecorder(), r)
			}
		})
	}
	wg.Wait()
	h.entry.WaitHedges(t.Context())
	most := uint64(requests*hedgePercent/100 + reserve)
	t.Logf("%+v of %d requests", h.counts(), requests)
	require.LessOrEqual(t, h.counts().Sent, most)
	require.LessOrEqual(t, h.attempts.Load(), int32(requests+most))
}

// The copy carries one retry less for its call chain, so that the calls it causes don't use
// retries of their own in addition.
func TestHedgeUsesOneRetryOfCallChain(t *testing.T) {
	h := newHedgeFixture(t, unchanged, freezes, answersWith("second"))
	require.Equal(t, "1", h.ask("GET", "").Header().Get("X-Seen"))
}

// The caller disconnects, or its deadline passes, while both copies run. Both must end.
func TestBothCopiesEndWithTheRequest(t *testing.T) {
	h := newHedgeFixture(t, unchanged, freezes)
	w := h.ask("GET", "", headers.TimeoutMs, "300")
	require.Equal(t, string(kind.DeadlineUnknown), w.Header().Get(headers.Kind))
	h = newHedgeFixture(t, unchanged, freezes)
	ctx, cancel := context.WithCancel(t.Context())
	r := httptest.NewRequest("GET", "/x", nil).WithContext(ctx)
	r.Header.Set(headers.Service, "orders")
	go func() {
		<-h.secondArrived
		cancel()
	}()
	h.entry.ServeHTTP(httptest.NewRecorder(), r)
	h.entry.WaitHedges(t.Context())
	require.Zero(t, h.inFlight())
}

// The losing copy still writes its answer, late. It must not reach its own caller, which has
// an answer already, nor the next request of another caller on the same connections.
func TestLateAnswerOfLosingCopyIsDropped(t *testing.T) {
	echo := func(o hedgeAttempt) { answersWith(o.r.Header.Get("X-Id"))(o) }
	h := newHedgeFixture(t, unchanged, func(o hedgeAttempt) {
		freezes(o)
		echo(o)
	}, echo)
	for i := range 8 {
		id := fmt.Sprint("caller-", i)
		require.Equal(t, id, h.ask("GET", "", "X-Id", id).Body.String())
	}
	require.EqualValues(t, budget.HedgeCounts{Sent: 8, Won: 8}, h.counts())
}

// The guards have a newer configuration. The request waits for it, is parsed again, and is
// then refused by a full target. The next attempt needs the retry budget from the first parse;
// without it the handler panicked and the caller received no answer.
func TestRequestRetriedWithNewConfigKeepsItsBudget(t *testing.T) {
	const targets = 4
	var attempts atomic.Int32
	h := newHedgeFixture(t, func(s *fleet.Service) { s.HedgePercent = 0 }, func(o hedgeAttempt) {
		switch n := attempts.Add(1); {
		case n <= targets:
			next, conf := *o.view, *o.view.Config
			next.Config = &conf
			o.entry.SetView(&next)
			kind.Write(o, kind.New(kind.StaleConfig, "newer"))
		case n == targets+1:
			refuses(o)
		default:
			answersWith("done")(o)
		}
	})
	require.Equal(t, "done", h.ask("GET", "").Body.String())
}
