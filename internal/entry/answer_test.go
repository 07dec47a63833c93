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

// scripted is a backend server that sends given bytes for every request and
// then closes or resets the connection.
type scripted struct {
	net.Listener
	says  string
	reset bool
	asked atomic.Int32
}

func newScripted(t *testing.T, says string, reset bool) *scripted {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := &scripted{Listener: l, says: says, reset: reset}
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

func (s *scripted) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	r, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	s.asked.Add(1)
	_, _ = conn.Write([]byte(s.says))
	if s.reset {
		_ = conn.(*net.TCPConn).SetLinger(0)
	}
}

// A crew member reads the manifest, and the backend server breaks its answer
// off. She must see a whole answer or a visible failure, and never a part that
// looks whole. A booking whose answer was cut has run; it must not run again.
func TestACutAnswerNeverLooksWhole(t *testing.T) {
	big := strings.Repeat("x", 100<<10)
	cases := []struct {
		name, says string
		whole      string
	}{
		{"before the headers", "", ""},
		{"in the status line", "HTTP/1.1 20", ""},
		{"in the headers", "HTTP/1.1 200 OK\r\nContent-Le", ""},
		{"after the headers", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n", ""},
		{"in a short body", "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nfour", ""},
		{"in a long body", "HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\n" + big, ""},
		{"in a chunk's size", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4", ""},
		{"in a chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n8\r\nfour", ""},
		{"before the end mark", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfour\r\n", ""},
		{"in the end mark", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfour\r\n0\r", ""},
		{"before a long one's end mark", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n19000\r\n" + big + "\r\n", ""},
		{"two lengths", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 5\r\n\r\nfour5", ""},
		{"a body longer than declared", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfourHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nevil", "four"},
		{"whole", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfour", "four"},
		{"whole in chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfour\r\n0\r\n\r\n", "four"},
	}
	for _, c := range cases {
		for _, reset := range []bool{false, true} {
			if reset && c.whole != "" {
				// A reset may overtake the bytes before it.
				continue
			}
			t.Run(fmt.Sprintf("%s, reset %t", c.name, reset), func(t *testing.T) {
				s := newScripted(t, c.says, reset)
				for _, path := range []string{"/read", "/book"} {
					// Nodes of its own for each request: the backend server closes
					// without a word, and a request that is sent on the closing
					// connection of the one before has an open outcome, rightly.
					w := newWorld(t, "http://"+s.Addr().String())
					got := w.ask(0, "GET", path, "")
					if c.whole != "" {
						require.Equal(t, c.whole, got.body, path)
						continue
					}
					visible := got.err != nil || got.outcome == "unknown" && got.status >= 500
					require.True(t, visible, "%s: %d %q", path, got.status, got.body)
				}
				require.EqualValues(t, 2, s.asked.Load(), "one target: each ran once")
			})
		}
	}
}

// An idempotent read whose answer breaks off within what is held back goes on
// to another target, and its caller sees only the whole answer.
func TestACutReadIsServedByAnotherTarget(t *testing.T) {
	cut := newScripted(t, "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nfour", true)
	good := newScripted(t, "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 5\r\n\r\nwhole", false)
	w := newWorld(t, "http://"+cut.Addr().String(), "http://"+good.Addr().String())
	for range 20 {
		require.Equal(t, "whole", w.ask(0, "GET", "/read", "").body)
	}
}

// A crew reads a chart over a satellite link, slowly. All of it has left its
// guard, which no longer has the request in hand, and lies in buffers. That
// nothing moves then is the crew's doing and no reason to cut the answer off.
func TestASlowReaderIsNoSilence(t *testing.T) {
	const size = 6 << 20
	chart := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, strings.Repeat("x", size))
	}))
	t.Cleanup(chart.Close)
	w := newWorld(t, chart.URL)
	conn, err := net.Dial("tcp", strings.TrimPrefix(w.callers[0], "http://"))
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	require.NoError(t, conn.(*net.TCPConn).SetReadBuffer(64<<10))
	_, err = io.WriteString(conn, "GET /read HTTP/1.1\r\nHost: s\r\n\r\n")
	require.NoError(t, err)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	// Longer than it takes to give up an exchange that the target hasn't got any more.
	time.Sleep(2 * time.Second)
	n, err := io.Copy(io.Discard, resp.Body)
	require.NoError(t, err)
	require.EqualValues(t, size, n)
}

// Readers give up before their answers come, and the answers arrive late, on
// connections that would be used again. Nobody must get one that isn't theirs.
func TestALateAnswerReachesNobodyElse(t *testing.T) {
	echo := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if late := r.Header.Get("X-Late"); late != "" {
			// The caller is gone by the time that its context ends; then the
			// answer is written all the same.
			<-r.Context().Done()
		}
		_, _ = io.WriteString(w, r.Header.Get(headers.RequestID))
	}))
	t.Cleanup(echo.Close)
	w := newWorld(t, echo.URL, echo.URL)
	var wg sync.WaitGroup
	for lane := range 8 {
		wg.Go(func() {
			for n := range 20 {
				id := fmt.Sprintf("%d-%d", lane, n)
				path := []string{"/read", "/book"}[n%2]
				if n%3 == 0 {
					got := w.ask(lane%2, "GET", path, "", headers.RequestID, id, "X-Late", "1", headers.TimeoutMs, "30")
					if got.status == http.StatusOK {
						t.Errorf("%s: %q came after its deadline", id, got.body)
					}
					continue
				}
				if got := w.ask(lane%2, "GET", path, "", headers.RequestID, id, headers.TimeoutMs, "60000"); got.body != id {
					t.Errorf("%s got %d %q", id, got.status, got.body)
				}
			}
		})
	}
	wg.Wait()
}
