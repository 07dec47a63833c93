package entry_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetdock/limpetdock/internal/headers"
)

// scriptedBackend is a backend server that sends fixed bytes for every request and then closes
// or resets the connection.
type scriptedBackend struct {
	net.Listener
	response string
	reset    bool
	requests atomic.Int32
}

func newScriptedBackend(t *testing.T, response string, reset bool) *scriptedBackend {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := &scriptedBackend{Listener: l, response: response, reset: reset}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(conn)
		}
	}()
	return s
}

func (s *scriptedBackend) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	r, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	s.requests.Add(1)
	_, _ = conn.Write([]byte(s.response))
	if s.reset {
		_ = conn.(*net.TCPConn).SetLinger(0)
	}
}

// A backend server truncates its answer. The caller must receive a complete answer or a
// visible failure, never a part that looks complete. A non-idempotent request whose answer was
// truncated has run; it must not run again.
func TestTruncatedAnswerIsVisibleToCaller(t *testing.T) {
	big := strings.Repeat("x", 100<<10)
	cases := []struct {
		name, response string
		want           string
	}{
		{"before the headers", "", ""},
		{"in the status line", "HTTP/1.1 20", ""},
		{"in the headers", "HTTP/1.1 200 OK\r\nContent-Le", ""},
		{"after the headers", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n", ""},
		{"in a short body", "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nfour", ""},
		{"in a long body", "HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\n" + big, ""},
		{"in a chunk's size", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4", ""},
		{"in a chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n8\r\nfour", ""},
		{"before the last chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfour\r\n", ""},
		{"in the last chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfour\r\n0\r", ""},
		{"before the last chunk of a long body", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n19000\r\n" + big + "\r\n", ""},
		{"two lengths", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 5\r\n\r\nfour5", ""},
		{"a body longer than declared", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfourHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nevil", "four"},
		{"complete", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfour", "four"},
		{"complete in chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfour\r\n0\r\n\r\n", "four"},
	}
	for _, c := range cases {
		for _, reset := range []bool{false, true} {
			if reset && c.want != "" {
				// A reset may discard the bytes sent before it.
				continue
			}
			t.Run(fmt.Sprintf("%s, reset %t", c.name, reset), func(t *testing.T) {
				s := newScriptedBackend(t, c.response, reset)
				for _, path := range []string{"/read", "/book"} {
					// Each request has its own nodes. The backend server closes its connection
					// without notice, and a request sent on a connection that is being closed
					// would rightly get an unknown outcome.
					w := newTestCluster(t, "http://"+s.Addr().String())
					got := w.ask(0, "GET", path, "")
					if c.want != "" {
						require.Equal(t, c.want, got.body, path)
						continue
					}
					visible := got.err != nil || got.outcome == "unknown" && got.status >= 500
					require.True(t, visible, "%s: %d %q", path, got.status, got.body)
				}
				require.EqualValues(t, 2, s.requests.Load(), "one target: each ran once")
			})
		}
	}
}

// The answer to an idempotent read is truncated while it is buffered. The read must be sent to
// another target, and the caller must receive only the complete answer.
func TestReadWithTruncatedAnswerIsRetriedElsewhere(t *testing.T) {
	cut := newScriptedBackend(t, "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nfour", true)
	good := newScriptedBackend(t, "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 5\r\n\r\nwhole", false)
	w := newTestCluster(t, "http://"+cut.Addr().String(), "http://"+good.Addr().String())
	for range 20 {
		require.Equal(t, "whole", w.ask(0, "GET", "/read", "").body)
	}
}

// A caller reads a long answer slowly. The guard has sent all of it and no longer has the
// request; the rest is in socket buffers. The missing progress is due to the caller, and the
// answer must not be cut off.
func TestSlowReaderIsNotTreatedAsUnresponsive(t *testing.T) {
	const size = 6 << 20
	chart := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, strings.Repeat("x", size))
	}))
	t.Cleanup(chart.Close)
	w := newTestCluster(t, chart.URL)
	conn, err := net.Dial("tcp", strings.TrimPrefix(w.callers[0], "http://"))
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	require.NoError(t, conn.(*net.TCPConn).SetReadBuffer(64<<10))
	_, err = io.WriteString(conn, "GET /read HTTP/1.1\r\nHost: s\r\n\r\n")
	require.NoError(t, err)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	// This is longer than it takes to abort an exchange that the target no longer has.
	time.Sleep(2 * time.Second)
	n, err := io.Copy(io.Discard, resp.Body)
	require.NoError(t, err)
	require.EqualValues(t, size, n)
}

// Callers time out before their answers arrive, and the answers come late on connections that
// could be reused. No caller may receive the answer to another request.
func TestLateAnswerIsNotDeliveredToAnotherRequest(t *testing.T) {
	echo := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if late := r.Header.Get("X-Late"); late != "" {
			// The context ends once the caller is gone; the answer is written nevertheless.
			<-r.Context().Done()
		}
		_, _ = io.WriteString(w, r.Header.Get(headers.RequestID))
	}))
	t.Cleanup(echo.Close)
	w := newTestCluster(t, echo.URL, echo.URL)
	var wg sync.WaitGroup
	for worker := range 8 {
		wg.Go(func() {
			for n := range 20 {
				id := fmt.Sprintf("%d-%d", worker, n)
				path := []string{"/read", "/book"}[n%2]
				if n%3 == 0 {
					got := w.ask(worker%2, "GET", path, "", headers.RequestID, id, "X-Late", "1", headers.TimeoutMs, "30")
					if got.status == http.StatusOK {
						t.Errorf("%s: %q came after its deadline", id, got.body)
					}
					continue
				}
				if got := w.ask(worker%2, "GET", path, "", headers.RequestID, id, headers.TimeoutMs, "60000"); got.body != id {
					t.Errorf("%s got %d %q", id, got.status, got.body)
				}
			}
		})
	}
	wg.Wait()
}
