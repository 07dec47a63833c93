package guard

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetdock/limpetdock/internal/kind"
)

// proxiedBackend is a backend server behind a proxy that goes on listening.
type proxiedBackend struct {
	// workers is true if a crash ends only the connection that it came on, and others are served.
	workers bool
	mu      sync.Mutex
	open    map[net.Conn]struct{}
	dead    bool
}

func startProxiedBackend(t *testing.T, workers bool) *crashingBackend {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	b := &proxiedBackend{workers: workers, open: map[net.Conn]struct{}{}}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go b.serve(c)
		}
	}()
	return &crashingBackend{addr: l.Addr().String()}
}

func (b *proxiedBackend) serve(c net.Conn) {
	defer b.end(c)
	if !b.begin(c) {
		return
	}
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if r.URL.Path == crashPath {
			b.crash()
			return
		}
		if _, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"); err != nil {
			return
		}
	}
}

func (b *proxiedBackend) begin(c net.Conn) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.open[c] = struct{}{}
	return !b.dead
}

func (b *proxiedBackend) end(c net.Conn) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.open, c)
	_ = c.Close()
}

// crash ends all connections of a backend server without workers.
func (b *proxiedBackend) crash() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.workers {
		return
	}
	b.dead = true
	for c := range b.open {
		_ = c.Close()
	}
}

// Guards against the death of a backend server that is hidden by a proxy that goes on listening.
func TestDeathBehindProxyIsRecognised(t *testing.T) {
	g := newGuardFor(t, startProxiedBackend(t, false))
	require.Nil(t, read(t, g, readPath, false))
	e := read(t, g, crashPath, true)
	require.NotNil(t, e)
	require.Equal(t, kind.BackendDied, e.Kind)
	require.NotZero(t, e.Death)
	require.True(t, e.Alone)
}

// Guards against a request that crashes one worker after the other without being suspected.
func TestCrashOfWorkerIsReportedAsUncertain(t *testing.T) {
	g := newGuardFor(t, startProxiedBackend(t, true))
	for range 20 {
		require.Nil(t, read(t, g, readPath, false))
	}
	first, second := read(t, g, crashPath, false), read(t, g, crashPath, false)
	for _, e := range []*kind.Error{first, second} {
		require.Equal(t, kind.BackendBroken, e.Kind)
		require.NotZero(t, e.Death)
		require.True(t, e.DeathUncertain)
	}
	require.NotEqual(t, first.Death, second.Death)
	require.Eventually(t, func() bool { return read(t, g, readPath, false) == nil }, time.Second, time.Millisecond)
}
