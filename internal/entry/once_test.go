package entry_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetdock/limpetdock/internal/headers"
)

// ledger is a backend server that counts its runs. A run waits for go-ahead.
type ledger struct {
	*httptest.Server
	runs    atomic.Int32
	started chan struct{}
	finish  chan struct{}
}

func newLedger(t *testing.T) *ledger {
	l := &ledger{started: make(chan struct{}, 100), finish: make(chan struct{}, 100)}
	l.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		run := l.runs.Add(1)
		l.started <- struct{}{}
		<-l.finish
		_, _ = w.Write([]byte("run " + strconv.Itoa(int(run))))
	}))
	t.Cleanup(func() {
		close(l.finish)
		l.Close()
	})
	return l
}

// during sends a request and calls f while the backend server runs it.
func during(w *world, l *ledger, f func(), pairs ...string) answer {
	got := make(chan answer, 1)
	go func() { got <- w.ask(0, "POST", "/book", "x", pairs...) }()
	select {
	case <-l.started:
		f()
	case early := <-got:
		require.Fail(w.t, "answered before it ran", "%+v", early)
	}
	return <-got
}

// A loadmaster books cargo. Something between two nodes loses track of the
// connection: it stays open and nothing passes any more, while new ones work.
// The booking has run. He must get its answer, and it must not run again.
func TestAnAnswerOnASilentConnectionIsCollectedOverANewOne(t *testing.T) {
	l := newLedger(t)
	w := newWorld(t, l.URL)
	got := during(w, l, func() {
		w.nodes[0].pipe.silence()
		l.finish <- struct{}{}
	})
	require.Equal(t, "run 1", got.body, got.kind)
	require.EqualValues(t, 1, l.runs.Load())
	require.Positive(t, w.entries[0].Counters().Silent.Load())
}

// The connection goes silent before the request has passed. The target has
// never seen it and seals it; only then may it go on to another target.
func TestARequestLostOnASilentConnectionIsSealed(t *testing.T) {
	l := newLedger(t)
	w := newWorld(t, l.URL)
	// Two requests at once leave two connections kept.
	second := make(chan answer, 1)
	first := during(w, l, func() {
		go func() { second <- w.ask(0, "POST", "/book", "x") }()
		require.Eventually(t, func() bool {
			// A guard that has just started may let it wait.
			return len(l.started) > 0 || w.nodes[0].guard.Load().Load().Waiting > 0
		}, time.Minute, time.Millisecond)
		l.finish <- struct{}{}
		l.finish <- struct{}{}
	})
	require.Equal(t, http.StatusOK, first.status)
	require.Equal(t, http.StatusOK, (<-second).status)
	w.nodes[0].pipe.silence()
	got := w.ask(0, "POST", "/book", "x")
	require.Equal(t, "sealed", got.kind, "there is no other target, so the seal is the end, and is proof")
	require.Equal(t, "not-run", got.outcome)
	l.finish <- struct{}{}
	require.Equal(t, "run 3", w.ask(0, "POST", "/book", "x").body, "the other kept connection isn't used")
}

// An idempotent read on such a connection is simply sent again elsewhere.
func TestAReadOnASilentConnectionIsSentAgain(t *testing.T) {
	l := newLedger(t)
	w := newWorld(t, l.URL, l.URL)
	got := make(chan answer)
	go func() { got <- w.ask(0, "GET", "/read", "") }()
	<-l.started
	for _, n := range w.nodes {
		n.pipe.silence()
	}
	l.finish <- struct{}{}
	l.finish <- struct{}{}
	require.Equal(t, http.StatusOK, (<-got).status)
	require.EqualValues(t, 2, l.runs.Load())
}

// The connection is reset before the answer, which net/http's transport would
// take as leave to send a bodiless request again. The copy would find a record,
// be told "not run", and go elsewhere.
func TestABrokenAnswerIsCollectedAndNothingRunsAgain(t *testing.T) {
	for _, method := range []string{"GET", "POST", "DELETE"} {
		t.Run(method, func(t *testing.T) {
			l := newLedger(t)
			w := newWorld(t, l.URL)
			l.finish <- struct{}{}
			require.Equal(t, "run 1", w.ask(0, method, "/book", "").body)
			w.nodes[0].pipe.loseAnswers(true)
			l.finish <- struct{}{}
			go func() {
				for w.entries[0].Counters().Resolved.Load() == 0 {
					time.Sleep(time.Millisecond)
				}
				w.nodes[0].pipe.loseAnswers(false)
			}()
			require.Equal(t, "run 2", w.ask(0, method, "/book", "").body)
			require.EqualValues(t, 2, l.runs.Load())
		})
	}
}

// The node dies with the booking in flight. Nobody can know its fate any more,
// and the loadmaster is told so at once, not near his deadline ten minutes on.
func TestADeadNodeIsAnsweredForAtOnce(t *testing.T) {
	l := newLedger(t)
	w := newWorld(t, l.URL)
	got := during(w, l, w.nodes[0].kill, headers.TimeoutMs, "600000")
	require.Equal(t, "unknown", got.outcome)
	require.Equal(t, "outcome-unknown", got.kind)
	require.NotEmpty(t, got.retryFor)
}

// The node is replaced within moments: another incarnation answers at its
// address. It has no record of the booking, which is no proof.
func TestAnotherIncarnationProvesNothing(t *testing.T) {
	l := newLedger(t)
	w := newWorld(t, l.URL)
	got := during(w, l, func() {
		w.nodes[0].start(2, old)
		w.nodes[0].pipe.reset()
	}, headers.TimeoutMs, "600000")
	require.Equal(t, "unknown", got.outcome)
	require.EqualValues(t, 1, l.runs.Load())
}

// An upload breaks off on the caller's side. A short one was held back whole
// first, so it has not run; of a long one the backend server had the start.
func TestACutUploadIsUnknownUnlessItWasHeld(t *testing.T) {
	for _, c := range []struct {
		name string
		size int
		runs int32
	}{{"short", 1000, 0}, {"long", 1 << 20, 1}} {
		t.Run(c.name, func(t *testing.T) {
			l := newLedger(t)
			w := newWorld(t, l.URL)
			conn, err := net.Dial("tcp", strings.TrimPrefix(w.callers[0], "http://"))
			require.NoError(t, err)
			_, err = fmt.Fprintf(conn, "POST /plan HTTP/1.1\r\nHost: s\r\nContent-Length: %d\r\n\r\n%s", c.size, strings.Repeat("x", c.size/2))
			require.NoError(t, err)
			if c.runs > 0 {
				<-l.started
			}
			require.NoError(t, conn.(*net.TCPConn).CloseWrite())
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			require.NoError(t, err)
			require.Equal(t, "body-cut", resp.Header.Get(headers.Kind))
			want := map[int32]string{0: "not-run", 1: "unknown"}
			require.Equal(t, want[c.runs], resp.Header.Get(headers.Outcome))
			require.Equal(t, c.runs, l.runs.Load())
		})
	}
}

// A read's connection is reset before its answer. Whether it is sent again is
// the entry's to decide, within its budget, and not net/http's transport's: an
// error of such a second copy would be taken for proof that nothing was sent.
func TestTheTransportRepeatsNothing(t *testing.T) {
	l := newLedger(t)
	w := newWorld(t, l.URL)
	l.finish <- struct{}{}
	require.Equal(t, "run 1", w.ask(0, "GET", "/read", "").body)
	w.nodes[0].pipe.loseAnswers(true)
	l.finish <- struct{}{}
	require.Equal(t, "unknown", w.ask(0, "GET", "/read", "").outcome)
	require.EqualValues(t, 2, l.runs.Load())
}

// Something between two nodes mixes connections up, and a guard's answer to
// another request arrives. It must reach nobody, and the booking's own answer
// must be found by its id.
func TestAnAnswerToAnotherRequestIsDropped(t *testing.T) {
	l := newLedger(t)
	w := newWorld(t, l.URL)
	l.finish <- struct{}{}
	l.finish <- struct{}{}
	for run := range 2 {
		w.nodes[0].mixedUp.Store(1)
		require.Equal(t, fmt.Sprint("run ", run+1), w.ask(0, "POST", "/book", "x").body)
		// The first one named no process yet, so there was nothing to ask about.
		require.EqualValues(t, run, w.entries[0].Counters().Resolved.Load())
	}
	require.EqualValues(t, 2, l.runs.Load())
}
