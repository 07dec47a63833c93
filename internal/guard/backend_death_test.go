package guard

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/url"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetdock/limpetdock/fleet"
	"github.com/limpetdock/limpetdock/internal/headers"
	"github.com/limpetdock/limpetdock/internal/kind"
)

const (
	crashPath = "/crash"
	readPath  = "/week"
	// pairPath is answered once two requests for it are present.
	pairPath = "/pair"
	// lateCrashPath and holdPath are not answered. A request for lateCrashPath crashes the
	// server once one for holdPath is present.
	lateCrashPath = "/late-crash"
	holdPath      = "/hold"
)

// crashingBackend is a backend server that dies on a request for crashPath. Its idle
// connections are closed only when something is written to them, since the end of a
// process may become visible late.
type crashingBackend struct {
	addr string
	pair chan struct{}
	// crashing and held receive a value for each request for lateCrashPath and holdPath.
	crashing, held chan struct{}

	mu   sync.Mutex
	l    net.Listener
	dead bool
}

func startCrashingBackend(t *testing.T) *crashingBackend {
	t.Helper()
	m := &crashingBackend{pair: make(chan struct{}), crashing: make(chan struct{}), held: make(chan struct{})}
	m.restart(t)
	t.Cleanup(func() { _ = m.l.Close() })
	return m
}

func (m *crashingBackend) restart(t *testing.T) {
	t.Helper()
	addr := m.addr
	if addr == "" {
		addr = "127.0.0.1:0"
	}
	l, err := net.Listen("tcp", addr)
	require.NoError(t, err)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.l, m.addr, m.dead = l, l.Addr().String(), false
	go m.accept(l)
}

func (m *crashingBackend) accept(l net.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		go m.serve(conn, l)
	}
}

func (m *crashingBackend) serve(conn net.Conn, l net.Listener) {
	defer func() { _ = conn.Close() }()
	in := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if m.handleCrash(req.URL.Path, l) {
			return
		}
		switch req.URL.Path {
		case lateCrashPath:
			m.crashing <- struct{}{}
			<-m.held
			m.handleCrash(crashPath, l)
			close(m.held)
			return
		case holdPath:
			m.held <- struct{}{}
			<-m.held
			return
		}
		if req.URL.Path == pairPath {
			select {
			case m.pair <- struct{}{}:
			case <-m.pair:
			}
		}
		if _, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"); err != nil {
			return
		}
	}
}

// handleCrash simulates the crash on a request for crashPath and reports whether the
// process that listened at l is dead.
func (m *crashingBackend) handleCrash(path string, l net.Listener) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if path == crashPath {
		m.dead = true
		_ = l.Close()
	}
	return m.dead
}

func newGuardFor(t *testing.T, m *crashingBackend) *Guard {
	t.Helper()
	f := fleet.Fleet{
		Name: "test", Revision: 1, Teams: []fleet.Team{{Name: "team"}}, Zones: []fleet.Zone{{Name: "z", Region: "r"}},
		Services: []fleet.Service{{
			Name: "s", Team: "team", Timeout: time.Second,
			Routes:  []fleet.Route{{Name: "read", Methods: []string{http.MethodGet}, Path: "/*", Idempotent: true}},
			Targets: []fleet.Target{{VM: "vm1", Zone: "z", Slots: 2}},
		}},
	}
	start := time.Now()
	g := New(&url.URL{Scheme: "http", Host: m.addr}, 1, func() time.Duration { return time.Since(start) })
	g.SetView(viewFor(t, f))
	g.gate.SetBackendRunning(0)
	t.Cleanup(g.Close)
	return g
}

// read sends a read and returns the refusal, or nil if it was answered.
func read(t *testing.T, g *Guard, path string, suspect bool) *kind.Error {
	t.Helper()
	return readWith(t.Context(), t, g, path, suspect)
}

// readWith is like read, with a context that may be cancelled.
func readWith(ctx context.Context, t *testing.T, g *Guard, path string, suspect bool) *kind.Error {
	t.Helper()
	r := httptest.NewRequestWithContext(ctx, http.MethodGet, path, http.NoBody)
	r.Header.Set(headers.Service, "s")
	r.Header.Set(headers.TimeoutMs, "60000")
	c := g.view.Load().Config
	r.Header.Set(headers.Config, c.Stamp(c.Services["s"], "vm9").String())
	if suspect {
		r.Header.Set(headers.Suspect, "1")
	}
	resp, err := g.RoundTrip(r)
	require.NoError(t, err)
	defer func() { _ = resp.Body.Close() }()
	if e := kind.Read(resp); e != nil {
		return e
	}
	_, err = io.Copy(io.Discard, resp.Body)
	require.NoError(t, err)
	return nil
}

// openTwoConnections leaves the guard with two idle connections.
func openTwoConnections(t *testing.T, g *Guard) {
	t.Helper()
	var pair sync.WaitGroup
	for range 2 {
		pair.Go(func() { require.Nil(t, read(t, g, pairPath, false)) })
	}
	pair.Wait()
}

// A read was in flight together with the one that crashes the server. Both are
// suspects and go to the same next target, where the crashing read runs alone and
// crashes it. The other one, which waited for its turn, would be sent on an idle
// connection of the dead server. It never ran there, so blaming it for the death would
// block innocent reads.
func TestDeathIsNotBlamedOnLaterRequest(t *testing.T) {
	m := startCrashingBackend(t)
	g := newGuardFor(t, m)
	openTwoConnections(t, g)
	first, ok := g.isolation.Enter(t.Context(), false)
	require.True(t, ok)
	killer, bystander := make(chan *kind.Error), make(chan *kind.Error)
	go func() { killer <- read(t, g, crashPath, true) }()
	require.Eventually(t, g.isolation.Claimed, time.Minute, time.Millisecond)
	go func() { bystander <- read(t, g, readPath, true) }()
	require.Eventually(t, func() bool { return g.Load().InUse == 2 }, time.Minute, time.Millisecond)
	first.Leave()

	died := <-killer
	require.Equal(t, kind.BackendDied, died.Kind)
	require.True(t, died.Alone)
	late := <-bystander
	require.NotNil(t, late)
	require.Equal(t, kind.Unreachable, late.Kind, "it was never sent")
	require.Equal(t, kind.NotRun, late.ReportedOutcome())
	require.Zero(t, late.Death)
}

// Guards against a suspect that is blamed alone for the death by a request that was cancelled
// before, and that the backend server still ran.
func TestDeathAfterAbandonedRequestIsNotBlamedOnSuspectAlone(t *testing.T) {
	m := startCrashingBackend(t)
	g := newGuardFor(t, m)
	ctx, cancel := context.WithCancel(t.Context())
	abandoned := make(chan *kind.Error)
	go func() { abandoned <- readWith(ctx, t, g, lateCrashPath, false) }()
	<-m.crashing
	cancel()
	require.Equal(t, kind.OutcomeUnknown, (<-abandoned).Kind)
	died := read(t, g, holdPath, true)
	require.Equal(t, kind.BackendDied, died.Kind)
	require.False(t, died.Alone)
}

// The dead server is restarted, and its first request is the crashing read again. That
// is a second death, though nothing was answered since the first. If both deaths had
// the same id, the read would never be blocked.
func TestDeathBeforeFirstAnswerIsCounted(t *testing.T) {
	m := startCrashingBackend(t)
	g := newGuardFor(t, m)
	first := read(t, g, crashPath, true)
	m.restart(t)
	second := read(t, g, crashPath, true)
	require.Equal(t, kind.BackendDied, second.Kind)
	require.NotEqual(t, first.Death, second.Death)
}
