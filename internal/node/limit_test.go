package node

import (
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

	"github.com/limpetdock/limpetdock/internal/attempt"
	"github.com/limpetdock/limpetdock/internal/headers"
	"github.com/limpetdock/limpetdock/internal/kind"
	"github.com/limpetdock/limpetdock/internal/limit"
)

// shortLimit is a stop limit that the requests of a test outlast.
const shortLimit = 200 * time.Millisecond

// holdingBackend returns a backend server that holds each request it receives until
// the end of the test. received gets one value for each.
func holdingBackend(t *testing.T) (b *backend, received chan struct{}) {
	b = newBackend(t)
	received, release := make(chan struct{}, 16), make(chan struct{})
	b.setAnswer(func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/ready":
			return
		case "/stream":
			w.Header().Set("Content-Type", "text/event-stream")
			// An answer that may be stored isn't sent before it is complete.
			_, _ = w.Write(make([]byte, attempt.MaxAnswer+1))
			_ = http.NewResponseController(w).Flush()
		}
		received <- struct{}{}
		<-release
	})
	t.Cleanup(sync.OnceFunc(func() { close(release) }))
	return b, received
}

// stopAtLimit stops the node while its requests outlast the stop limit.
// The process would end then, so conn receives nothing that is written later.
func (n *testNode) stopAtLimit(t *testing.T, conn net.Conn) {
	n.set.StopLimit = shortLimit
	n.stop()
	require.NoError(t, conn.SetDeadline(time.Now().Add(time.Second)))
}

// hasRequest reports whether the node's entry has admitted a request.
func (n *testNode) hasRequest() bool {
	return slices.ContainsFunc(n.limits.Uses(), func(u limit.Use) bool { return u.InFlight > 0 })
}

// stage is how far a request has got when the node stops.
type stage uint8

const (
	// admitted: the entry has admitted it but hasn't read its body.
	admitted stage = iota
	// uploading: the backend server has received a part of it.
	uploading
	// runs: the backend server has received all of it.
	runs
)

func head(method, path, rest string) string {
	return method + " " + path + " HTTP/1.1\r\nHost: orders\r\nLimpetdock-Timeout-Ms: 60000\r\n" + rest
}

// Guards against a connection that is closed without an answer on a request that is
// still open at the stop limit, and against an answer that claims too much or too little.
func TestStopAnswersRequestsThatAreOpenAtItsLimit(t *testing.T) {
	const booking = "Content-Length: 5\r\n\r\ncrate"
	cases := map[string]struct {
		request string
		at      stage
		status  int
		outcome kind.Outcome
	}{
		"a read that runs":            {head("GET", "/orders", "\r\n"), runs, http.StatusBadGateway, kind.Unknown},
		"a booking that runs":         {head("POST", "/orders", booking), runs, http.StatusBadGateway, kind.Unknown},
		"a small body that is late":   {head("POST", "/orders", "Content-Length: 9\r\n\r\ncrate"), admitted, http.StatusServiceUnavailable, kind.NotRun},
		"an upload that isn't over":   {head("PUT", "/uploads/a", "Transfer-Encoding: chunked\r\n\r\n5\r\nfirst\r\n"), uploading, http.StatusBadGateway, kind.Unknown},
		"a booking that is streamed":  {head("POST", "/orders", "Transfer-Encoding: chunked\r\n\r\n5\r\nfirst\r\n"), uploading, http.StatusBadGateway, kind.Unknown},
		"a long upload of known size": {head("PUT", "/uploads/a", "Content-Length: 100000\r\n\r\nfirst"), uploading, http.StatusBadGateway, kind.Unknown},
	}
	for name, one := range cases {
		t.Run(name, func(t *testing.T) {
			b, received := holdingBackend(t)
			n := start(t, b, logr.Logger{})
			conn, answers := dial(t, n)
			send(t, conn, one.request)
			switch one.at {
			case runs:
				<-received
			case uploading:
				require.Eventually(t, func() bool { return b.uploads.Load() == 1 }, time.Minute, time.Millisecond)
			case admitted:
				require.Eventually(t, n.hasRequest, time.Minute, time.Millisecond)
			}
			n.stopAtLimit(t, conn)
			resp, err := http.ReadResponse(answers, nil)
			require.NoError(t, err)
			text, err := io.ReadAll(resp.Body)
			require.NoError(t, err)
			require.Equal(t, one.status, resp.StatusCode, "%s", text)
			require.Equal(t, string(one.outcome), resp.Header.Get(headers.Outcome), "%s", text)
			require.NotEmpty(t, resp.Header.Get("Retry-After"))
			require.True(t, resp.Close)
		})
	}
}

// Guards against "unknown" for a request that waits at the backend server's queue when
// the stop limit passes: it has not run and won't.
func TestStopReportsRequestsThatWaitAtItsLimitAsNotRun(t *testing.T) {
	for name, request := range map[string]string{
		"a read":    head("GET", "/orders", "\r\n"),
		"a booking": head("POST", "/orders", "Content-Length: 5\r\n\r\ncrate"),
	} {
		t.Run(name, func(t *testing.T) {
			b, received := holdingBackend(t)
			f := testFleet()
			f.Services[0].Targets[0].Slots = 1
			n := startIn(t, f, b, logr.Logger{})
			first, _ := dial(t, n)
			send(t, first, head("GET", "/orders", "\r\n"))
			<-received
			conn, answers := dial(t, n)
			send(t, conn, request)
			require.Eventually(t, func() bool { return n.guard.Load().Waiting == 1 }, time.Minute, time.Millisecond)
			n.stopAtLimit(t, conn)
			resp, err := http.ReadResponse(answers, nil)
			require.NoError(t, err)
			require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
			require.Equal(t, string(kind.NotRun), resp.Header.Get(headers.Outcome))
			require.Equal(t, string(kind.Leaving), resp.Header.Get(headers.Kind))
			require.NotEmpty(t, resp.Header.Get("Retry-After"))
			require.Len(t, b.takeRequests(), 1)
		})
	}
}

// Guards against a part of an answer that looks like a complete one.
func TestAnswerThatHasBegunIsVisiblyCutAtStopLimit(t *testing.T) {
	for _, method := range []string{"GET", "POST"} {
		t.Run(method, func(t *testing.T) {
			b, received := holdingBackend(t)
			n := start(t, b, logr.Logger{})
			conn, answers := dial(t, n)
			send(t, conn, head(method, "/stream", "Content-Length: 0\r\n\r\n"))
			<-received
			resp, err := http.ReadResponse(answers, nil)
			require.NoError(t, err)
			n.stopAtLimit(t, conn)
			text, err := io.ReadAll(resp.Body)
			require.ErrorIs(t, err, io.ErrUnexpectedEOF)
			require.Len(t, text, attempt.MaxAnswer+1)
		})
	}
}

// Guards against an entry that can't tell at the end of a stop whether its request ran: one
// that waited at the guard may be sent elsewhere.
func TestStopAnswersEntriesAtItsLimit(t *testing.T) {
	b, received := holdingBackend(t)
	f := testFleet()
	f.Services[0].Targets[0].Slots = 1
	n := startIn(t, f, b, logr.Logger{})
	refusal, err := n.sendAttempt(t.Context(), "0", "0")
	require.NoError(t, err)
	identity := refusal.Header
	first, _ := dial(t, n)
	send(t, first, head("GET", "/orders", "\r\n"))
	<-received
	answered := make(chan http.Header, 1)
	go func() {
		resp, err := n.sendAttempt(t.Context(), identity.Get(headers.Incarnation), identity.Get(headers.Tick))
		if err != nil {
			answered <- http.Header{"Error": {err.Error()}}
			return
		}
		answered <- resp.Header
	}()
	require.Eventually(t, func() bool { return n.guard.Load().Waiting == 1 }, time.Minute, time.Millisecond)
	n.stopAtLimit(t, first)
	got := <-answered
	require.Equal(t, string(kind.Leaving), got.Get(headers.Kind), "%v", got)
	require.Equal(t, string(kind.NotRun), got.Get(headers.Outcome))
}

// Guards against a stop that outlasts the time that main.go allows for it.
func TestStopMarginCoversAllSteps(t *testing.T) {
	require.Less(t, notifyPeersFor+backlogTimeout+2*answerMargin+collectFor+keyTransferTimeout, stopMargin)
}
