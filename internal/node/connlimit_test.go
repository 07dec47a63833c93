package node

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

	"github.com/limpetdock/limpetdock/internal/headers"
)

// guardConn is an entry's connection to the guard's port.
type guardConn struct {
	net.Conn
	answers *bufio.Reader
}

func dialGuard(t *testing.T, n *testNode) *guardConn {
	conn, err := net.Dial("tcp", n.set.Guard)
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	return &guardConn{conn, bufio.NewReader(conn)}
}

func (l *guardConn) sendRequest(more string) {
	_, _ = l.Write([]byte("GET /x HTTP/1.1\r\nHost: x\r\n" + headers.Service + ": orders\r\n" +
		headers.TimeoutMs + ": 30000\r\n" + headers.Fleet + ": shop\r\n" + more + "\r\n"))
}

func (l *guardConn) readAnswer() (resp *http.Response, body string, err error) {
	if resp, err = http.ReadResponse(l.answers, nil); err != nil {
		return nil, "", err
	}
	text, err := io.ReadAll(resp.Body)
	return resp, string(text), err
}

// Guards against connections beyond the declared number, which come when a region
// spills over to a target that those entries never used. While all connections are
// busy, a new request is refused so that it goes to another target, and no running
// request is cut. An attempt's answer can still be collected. Once connections are
// idle, the longest idle one is closed for a new one.
func TestGuardConnectionsAreLimited(t *testing.T) {
	b := newBackend(t)
	n := start(t, b, logr.Logger{})
	r := n.servers.guardConns
	r.mu.Lock()
	r.limit = func() int { return 2 }
	r.mu.Unlock()
	release, running := make(chan struct{}), atomic.Int32{}
	b.setAnswer(func(w http.ResponseWriter, _ *http.Request) {
		running.Add(1)
		<-release
		_, _ = w.Write([]byte("complete"))
	})
	first, second := dialGuard(t, n), dialGuard(t, n)
	for _, l := range []*guardConn{first, second} {
		l.sendRequest("")
	}
	require.Eventually(t, func() bool { return running.Load() == 2 }, time.Minute, time.Millisecond)
	late, collector := dialGuard(t, n), dialGuard(t, n)
	late.sendRequest("")
	resp, text, err := late.readAnswer()
	require.NoError(t, err)
	require.Equal(t, "not-run", resp.Header.Get(headers.Outcome))
	require.Contains(t, text, `"overloaded"`)
	require.True(t, resp.Close)
	collector.sendRequest(headers.Collect + ": a\r\n")
	_, text, err = collector.readAnswer()
	require.NoError(t, err)
	require.NotContains(t, text, `"overloaded"`, "collecting an answer is not refused")

	close(release)
	for _, l := range []*guardConn{first, second} {
		_, body, err := l.readAnswer()
		require.NoError(t, err)
		require.Equal(t, "complete", body)
	}
	require.Eventually(t, func() bool {
		next := dialGuard(t, n)
		next.sendRequest("")
		_, body, err := next.readAnswer()
		_ = next.Close()
		return err == nil && body == "complete"
	}, time.Minute, 50*time.Millisecond, "an idle connection is closed for a new one")
	require.NotZero(t, n.servers.guard.counters.idleClosed.Load())
}

// Guards against an unbounded number of open connections from clients that connect
// and send nothing.
func TestIdleConnectionsOverHardLimitAreClosed(t *testing.T) {
	b := newBackend(t)
	n := start(t, b, logr.Logger{})
	r := n.servers.guardConns
	r.mu.Lock()
	r.limit = func() int { return 2 }
	r.mu.Unlock()
	for range 20 {
		dialGuard(t, n)
	}
	require.Eventually(t, func() bool { return n.servers.guard.counters.refused.Load() > 0 }, time.Minute, time.Millisecond)
	require.Eventually(t, func() bool {
		r.mu.Lock()
		defer r.mu.Unlock()
		return len(r.conns) <= 2*hardLimitFactor
	}, time.Minute, time.Millisecond)
}
