package guard

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/url"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetdock/limpetdock/fleet"
	"github.com/limpetdock/limpetdock/internal/headers"
	"github.com/limpetdock/limpetdock/internal/kind"
)

const (
	crashPath = "/crash"
	readPath  = "/week"
	// pairPath is answered once two requests for it are there.
	pairPath = "/pair"
)

// mortal is a backend server that dies when it is asked for crashPath. Its
// idle connections are closed only when something is written to them, as the
// news of their end may come late.
type mortal struct {
	addr string
	pair chan struct{}
	mu   sync.Mutex
	l    net.Listener
	dead bool
}

func startMortal(t *testing.T) *mortal {
	t.Helper()
	m := &mortal{pair: make(chan struct{})}
	m.restart(t)
	t.Cleanup(func() { _ = m.l.Close() })
	return m
}

func (m *mortal) restart(t *testing.T) {
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

func (m *mortal) accept(l net.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		go m.serve(conn, l)
	}
}

func (m *mortal) serve(conn net.Conn, l net.Listener) {
	defer func() { _ = conn.Close() }()
	in := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if m.dies(req.URL.Path, l) {
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

// dies says whether the process that listened at l is dead.
func (m *mortal) dies(path string, l net.Listener) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if path == crashPath {
		m.dead = true
		_ = l.Close()
	}
	return m.dead
}

func guardOf(t *testing.T, m *mortal) *Guard {
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
	g.gate.BackendCount(0)
	t.Cleanup(g.Close)
	return g
}

// read sends a read and gives the refusal, or nil if it was answered.
func read(t *testing.T, g *Guard, path string, suspect bool) *kind.Error {
	t.Helper()
	r := httptest.NewRequestWithContext(t.Context(), http.MethodGet, path, http.NoBody)
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

// keepTwo makes the guard keep two connections.
func keepTwo(t *testing.T, g *Guard) {
	t.Helper()
	var pair sync.WaitGroup
	for range 2 {
		pair.Go(func() { require.Nil(t, read(t, g, pairPath, false)) })
	}
	pair.Wait()
}

// A read was in flight beside the one that kills; both are suspects and go on to
// the same next target. The killing read dies there alone. The other one, which
// has waited for its turn, goes out on a kept connection of the dead server,
// and its caller is told that requests like it crash servers. It never ran
// there: the death came before it, and blaming it blocks innocent reads.
func TestADeathIsNotBlamedOnWhatCameAfterIt(t *testing.T) {
	m := startMortal(t)
	g := guardOf(t, m)
	keepTwo(t, g)
	require.True(t, g.isolation.join(t.Context()))
	killer, bystander := make(chan *kind.Error), make(chan *kind.Error)
	go func() { killer <- read(t, g, crashPath, true) }()
	require.Eventually(t, g.isolation.claimed, time.Minute, time.Millisecond)
	go func() { bystander <- read(t, g, readPath, true) }()
	require.Eventually(t, func() bool { return g.Load().InUse == 2 }, time.Minute, time.Millisecond)
	g.isolation.leave()

	died := <-killer
	require.Equal(t, kind.BackendDied, died.Kind)
	require.True(t, died.Alone)
	late := <-bystander
	require.NotNil(t, late)
	require.Equal(t, kind.Unreachable, late.Kind, "it was never sent")
	require.Equal(t, kind.NotRun, late.Said())
	require.Zero(t, late.Death)
}

// The platform starts the dead server anew, and the first request there is the
// killing read again: it is a second death, though nothing has been answered
// since the first. Two deaths that look like one would never block it.
func TestADeathBeforeAnyAnswerCounts(t *testing.T) {
	m := startMortal(t)
	g := guardOf(t, m)
	first := read(t, g, crashPath, true)
	m.restart(t)
	second := read(t, g, crashPath, true)
	require.Equal(t, kind.BackendDied, second.Kind)
	require.NotEqual(t, first.Death, second.Death)
}

// A suspect that has run for long goes on in company. If the server dies then,
// nobody can tell whose doing it was.
func TestASuspectInCompanyDidNotDieAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var i isolation
		v, ok := i.enter(t.Context(), true)
		require.True(t, ok)
		require.True(t, v.alone())
		time.Sleep(2 * aloneFor)
		require.False(t, v.alone())
		v.leave()
	})
}

func (i *isolation) claimed() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.alone != nil
}
