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

// countingBackend is a backend server that counts its runs. Each run waits for a value on
// finish.
type countingBackend struct {
	*httptest.Server
	runs    atomic.Int32
	started chan struct{}
	finish  chan struct{}
}

func newCountingBackend(t *testing.T) *countingBackend {
	l := &countingBackend{started: make(chan struct{}, 100), finish: make(chan struct{}, 100)}
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

// whileRunning sends a request and calls f while the backend server runs it.
func whileRunning(w *testCluster, l *countingBackend, f func(), pairs ...string) answer {
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

// The connection stalls after a non-idempotent request has run: it stays open without
// transferring data, while new connections work. The caller must receive the answer, and the
// request must not run again.
func TestAnswerOnStalledConnectionIsCollectedOverNewOne(t *testing.T) {
	l := newCountingBackend(t)
	w := newTestCluster(t, l.URL)
	got := whileRunning(w, l, func() {
		w.nodes[0].proxy.stall()
		l.finish <- struct{}{}
	})
	require.Equal(t, "run 1", got.body, got.kind)
	require.EqualValues(t, 1, l.runs.Load())
	require.Positive(t, w.entries[0].Counters().UnresponsiveConnections.Load())
}

// The connection stalls before the request has been forwarded. The target has never received
// it and seals it; only then may it be sent to another target.
func TestRequestLostOnStalledConnectionIsSealed(t *testing.T) {
	l := newCountingBackend(t)
	w := newTestCluster(t, l.URL)
	// Two concurrent requests leave two idle connections.
	second := make(chan answer, 1)
	first := whileRunning(w, l, func() {
		go func() { second <- w.ask(0, "POST", "/book", "x") }()
		require.Eventually(t, func() bool {
			// A guard that has just started may queue the second request.
			return len(l.started) > 0 || w.nodes[0].guard.Load().Load().Waiting > 0
		}, time.Minute, time.Millisecond)
		l.finish <- struct{}{}
		l.finish <- struct{}{}
	})
	require.Equal(t, http.StatusOK, first.status)
	require.Equal(t, http.StatusOK, (<-second).status)
	w.nodes[0].proxy.stall()
	got := w.ask(0, "POST", "/book", "x")
	require.Equal(t, "sealed", got.kind, "there is no other target, so the seal proves that the request has not run")
	require.Equal(t, "not-run", got.outcome)
	l.finish <- struct{}{}
	require.Equal(t, "run 3", w.ask(0, "POST", "/book", "x").body, "the other kept connection isn't used")
}

// An idempotent read on a stalled connection is sent again to another target.
func TestReadOnStalledConnectionIsSentAgain(t *testing.T) {
	l := newCountingBackend(t)
	w := newTestCluster(t, l.URL, l.URL)
	got := make(chan answer)
	go func() { got <- w.ask(0, "GET", "/read", "") }()
	<-l.started
	for _, n := range w.nodes {
		n.proxy.stall()
	}
	l.finish <- struct{}{}
	l.finish <- struct{}{}
	require.Equal(t, http.StatusOK, (<-got).status)
	require.EqualValues(t, 2, l.runs.Load())
}

// The connection is reset before the answer. net/http's transport would by default repeat a
// request without a body. That copy would find a record, be answered "not run", and be sent to
// another target.
func TestResetAnswerIsCollectedAndRequestRunsOnce(t *testing.T) {
	for _, method := range []string{"GET", "POST", "DELETE"} {
		t.Run(method, func(t *testing.T) {
			l := newCountingBackend(t)
			w := newTestCluster(t, l.URL)
			l.finish <- struct{}{}
			require.Equal(t, "run 1", w.ask(0, method, "/book", "").body)
			w.nodes[0].proxy.setResetAnswers(true)
			l.finish <- struct{}{}
			go func() {
				for w.entries[0].Counters().Resolved.Load() == 0 {
					time.Sleep(time.Millisecond)
				}
				w.nodes[0].proxy.setResetAnswers(false)
			}()
			require.Equal(t, "run 2", w.ask(0, method, "/book", "").body)
			require.EqualValues(t, 2, l.runs.Load())
		})
	}
}

// The node dies with a request in flight. Its outcome can't be determined any more, and the
// caller must be answered so at once, not shortly before its deadline in ten minutes.
func TestDeadNodeYieldsUnknownOutcomeAtOnce(t *testing.T) {
	l := newCountingBackend(t)
	w := newTestCluster(t, l.URL)
	got := whileRunning(w, l, w.nodes[0].kill, headers.TimeoutMs, "600000")
	require.Equal(t, "unknown", got.outcome)
	require.Equal(t, "outcome-unknown", got.kind)
	require.NotEmpty(t, got.retryAfter)
}

// The node is replaced at once: another incarnation answers at its address. That it has no
// record of the request is no proof that the request has not run.
func TestNewIncarnationYieldsUnknownOutcome(t *testing.T) {
	l := newCountingBackend(t)
	w := newTestCluster(t, l.URL)
	got := whileRunning(w, l, func() {
		w.nodes[0].start(2, guardAge)
		w.nodes[0].proxy.reset()
	}, headers.TimeoutMs, "600000")
	require.Equal(t, "unknown", got.outcome)
	require.EqualValues(t, 1, l.runs.Load())
}

// An upload is truncated on the caller's side. A short one is buffered completely first, so it
// has not run; the backend server received the start of a long one.
func TestTruncatedUploadIsUnknownUnlessBuffered(t *testing.T) {
	for _, c := range []struct {
		name string
		size int
		runs int32
	}{{"short", 1000, 0}, {"long", 1 << 20, 1}} {
		t.Run(c.name, func(t *testing.T) {
			l := newCountingBackend(t)
			w := newTestCluster(t, l.URL)
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

// The connection of a read is reset before its answer. The entry decides, within its budget,
// whether the read is sent again, and net/http's transport must not: an error of its second
// copy would be mistaken for proof that nothing was sent.
func TestTransportDoesNotRetry(t *testing.T) {
	l := newCountingBackend(t)
	w := newTestCluster(t, l.URL)
	l.finish <- struct{}{}
	require.Equal(t, "run 1", w.ask(0, "GET", "/read", "").body)
	w.nodes[0].proxy.setResetAnswers(true)
	l.finish <- struct{}{}
	require.Equal(t, "unknown", w.ask(0, "GET", "/read", "").outcome)
	require.EqualValues(t, 2, l.runs.Load())
}

// A fault between two nodes mixes up connections, and the answer to another request arrives.
// It must not reach any caller, and the request's own answer must be found by its id.
func TestAnswerToAnotherRequestIsDropped(t *testing.T) {
	l := newCountingBackend(t)
	w := newTestCluster(t, l.URL)
	l.finish <- struct{}{}
	l.finish <- struct{}{}
	for run := range 2 {
		w.nodes[0].mismatchedAnswers.Store(1)
		require.Equal(t, fmt.Sprint("run ", run+1), w.ask(0, "POST", "/book", "x").body)
		// The first attempt named no incarnation yet, so there was no process to query.
		require.EqualValues(t, run, w.entries[0].Counters().Resolved.Load())
	}
	require.EqualValues(t, 2, l.runs.Load())
}
