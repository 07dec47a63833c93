package node

import (
	"fmt"
	"log"
	"net/http"
	"net/http/httptest"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/go-logr/logr/funcr"
	"github.com/stretchr/testify/require"

	"github.com/limpetdock/limpetdock/internal/headers"
	"github.com/limpetdock/limpetdock/internal/kind"
)

// answerLog counts requests by expected label and records answers that differ. It is
// safe for concurrent use.
type answerLog struct {
	mu     sync.Mutex
	counts map[string]uint64
	// unexpected counts the answers with another label; samples holds the first of them.
	unexpected int
	samples    []string
}

// record adds the answer to a request that began at begun.
func (a *answerLog) record(want string, begun time.Time, w *httptest.ResponseRecorder) {
	took := time.Since(begun)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.counts[want]++
	if answerLabel(w) == want {
		return
	}
	const maxSamples = 20
	a.unexpected++
	if len(a.samples) < maxSamples {
		a.samples = append(a.samples, fmt.Sprintf("%s expected, began %s, after %s: %d %v %s",
			want, begun.Format(time.StampMicro), took, w.Code, w.Header(), w.Body))
	}
}

// String returns the recorded unexpected answers, one per line.
func (a *answerLog) String() string { return strings.Join(a.samples, "\n") }

// answerLabel returns the label that an answer is counted under.
func answerLabel(w *httptest.ResponseRecorder) string {
	if w.Code == http.StatusOK {
		return servedLabel
	}
	return w.Header().Get(headers.Kind)
}

// servedLabel is the label of requests answerLog by the backend server.
const servedLabel = "backend"

// answerCounts returns a node's counts of answers, by label.
func answerCounts(n *testNode) map[string]uint64 {
	counts := map[string]uint64{}
	for _, u := range n.metrics.Usage() {
		for label, count := range u.Answers {
			counts[label] += count
		}
	}
	return counts
}

// increase returns the differences of counts that have out.
func increase(before, now map[string]uint64) map[string]uint64 {
	out := map[string]uint64{}
	for label, count := range now {
		if count > before[label] {
			out[label] = count - before[label]
		}
	}
	return out
}

// requestCase is a type of request with the label that its outcome is counted under.
type requestCase struct {
	label string
	set   func(http.Header)
}

// refusedCases returns requests that the entry refuses.
func refusedCases() []requestCase {
	with := func(k kind.Kind, name, value string) requestCase {
		return requestCase{string(k), func(h http.Header) { h.Set(name, value) }}
	}
	return []requestCase{
		with(kind.UnknownService, headers.Service, "nobody"),
		with(kind.BadRequest, headers.TimeoutMs, "soon"),
		with(kind.DeadlineNotRun, headers.TimeoutMs, "0"),
		with(kind.TooDeep, headers.Depth, "99"),
		with(kind.BadRequest, "Upgrade", "x"),
		with(kind.BadRequest, headers.IdempotencyKey, strings.Repeat("k", 999)),
	}
}

// servedCase returns a request that is served. Its deadline is long, because a
// process that gets no processor time can't meet a short one.
func servedCase() requestCase {
	const longDeadline = time.Minute
	ms := strconv.FormatInt(longDeadline.Milliseconds(), 10)
	return requestCase{servedLabel, func(h http.Header) { h.Set(headers.TimeoutMs, ms) }}
}

// Guards against requests that write log lines: log volume costs operators money,
// and a caller could fill the log. Requests of every kind, served or refused, must
// be counted and must not log anything, neither in the node nor in its libraries.
func TestMillionRequestsLogNothing(t *testing.T) {
	const requests, workers, everyNthServed = 1_000_000, 8, 100
	b := newBackend(t)
	n := start(t, b, logr.Logger{})
	before, counted := n.lines.Load(), answerCounts(n)
	served, refused := servedCase(), refusedCases()
	var wg sync.WaitGroup
	got := &answerLog{counts: map[string]uint64{}}
	for range workers {
		wg.Go(func() {
			for i := range requests / workers {
				r := &http.Request{
					Method: http.MethodGet, URL: &url.URL{Path: "/x"}, Host: "orders", Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
					Header: http.Header{}, Body: http.NoBody,
				}
				s := served
				if i%everyNthServed != 0 {
					s = refused[i%len(refused)]
				}
				s.set(r.Header)
				w := httptest.NewRecorder()
				begun := time.Now()
				n.servers.callers.server.Handler.ServeHTTP(w, r)
				got.record(s.label, begun, w)
			}
		})
	}
	wg.Wait()
	require.Zero(t, got.unexpected, "unexpected answers:\n%s", got)
	require.EqualValues(t, requests/everyNthServed, got.counts[servedLabel])
	require.Equal(t, got.counts, increase(counted, answerCounts(n)), "each request is counted under its outcome")
	require.Equal(t, before, n.lines.Load(), "the node's own log")
	require.Same(t, n.library, log.Writer(), "libraries must not write to stderr")
	require.Zero(t, n.library.lines.Load(), "the libraries' log")
	log.Print("an unsolicited response")
	require.EqualValues(t, 1, n.library.lines.Load())
}

// Callers can send broken requests at will, and net/http would log a line to stderr
// for many of them. They are only counted. The first panic is logged, because its
// stack is needed to fix the fault.
func TestLibraryLogLinesAreCounted(t *testing.T) {
	var lines []string
	c := &serverCounters{log: funcr.New(func(_, args string) { lines = append(lines, args) }, funcr.Options{})}
	port := newHTTPPort("127.0.0.1:0", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/panic" {
			panic("a fault")
		}
		w.WriteHeader(http.StatusOK)
		w.WriteHeader(http.StatusOK) // net/http logs a superfluous call
	}), 16, c)
	require.NoError(t, port.listen())
	go func() { _ = port.serve() }()
	defer func() { _ = port.server.Close() }()
	addr := port.listener.Addr().String()
	for range 3 {
		raw(addr, "GET /panic HTTP/1.1\r\nHost: x\r\n\r\n")
		statuses, _ := raw(addr, "GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
		require.Equal(t, []int{http.StatusOK}, statuses)
	}
	require.EqualValues(t, 3, c.panics.Load())
	require.EqualValues(t, 3, c.errors.Load())
	require.Len(t, lines, 1)
	require.Contains(t, lines[0], "a fault")
}
