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

// line is one entry's connection to the guard's port.
type line struct {
	net.Conn
	answers *bufio.Reader
}

func dialGuard(t *testing.T, n *running) *line {
	conn, err := net.Dial("tcp", n.set.Guard)
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	return &line{conn, bufio.NewReader(conn)}
}

func (l *line) ask(more string) {
	_, _ = l.Write([]byte("GET /x HTTP/1.1\r\nHost: x\r\n" + headers.Service + ": orders\r\n" +
		headers.TimeoutMs + ": 30000\r\n" + headers.Fleet + ": shop\r\n" + more + "\r\n"))
}

func (l *line) answer() (resp *http.Response, body string, err error) {
	if resp, err = http.ReadResponse(l.answers, nil); err != nil {
		return nil, "", err
	}
	text, err := io.ReadAll(resp.Body)
	return resp, string(text), err
}

// A region spills over, and entries that never used a target connect to it. Its
// connections are all busy: the new request is refused, to go to another
// target, and none of those that run is cut. An attempt's answer can still be
// collected. Once connections lie idle, the longest idle one makes room.
func TestConnectionsOfAGuardAreBounded(t *testing.T) {
	b := newBackend(t)
	n := start(t, b, logr.Logger{})
	r := n.servers.room
	r.mu.Lock()
	r.limit = func() int { return 2 }
	r.mu.Unlock()
	release, running := make(chan struct{}), atomic.Int32{}
	b.setAnswer(func(w http.ResponseWriter, _ *http.Request) {
		running.Add(1)
		<-release
		_, _ = w.Write([]byte("whole"))
	})
	first, second := dialGuard(t, n), dialGuard(t, n)
	for _, l := range []*line{first, second} {
		l.ask("")
	}
	require.Eventually(t, func() bool { return running.Load() == 2 }, time.Minute, time.Millisecond)
	late, collector := dialGuard(t, n), dialGuard(t, n)
	late.ask("")
	resp, said, err := late.answer()
	require.NoError(t, err)
	require.Equal(t, "not-run", resp.Header.Get(headers.Outcome))
	require.Contains(t, said, `"overloaded"`)
	require.True(t, resp.Close)
	collector.ask(headers.Collect + ": a\r\n")
	_, said, err = collector.answer()
	require.NoError(t, err)
	require.NotContains(t, said, `"overloaded"`, "what the guard knows is told")

	close(release)
	for _, l := range []*line{first, second} {
		_, body, err := l.answer()
		require.NoError(t, err)
		require.Equal(t, "whole", body)
	}
	require.Eventually(t, func() bool {
		next := dialGuard(t, n)
		next.ask("")
		_, body, err := next.answer()
		_ = next.Close()
		return err == nil && body == "whole"
	}, time.Minute, 50*time.Millisecond, "an idle one makes room")
	require.NotZero(t, n.servers.guard.counters.madeRoom.Load())
}

// Far more connections come than are accepted, and say nothing. They are closed
// at once, so that their number doesn't grow with whoever dials.
func TestSilentConnectionsOverTheCeilingAreClosed(t *testing.T) {
	b := newBackend(t)
	n := start(t, b, logr.Logger{})
	r := n.servers.room
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
		return len(r.conns) <= 2*ceiling
	}, time.Minute, time.Millisecond)
}
