package peer

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"github.com/limpetdock/limpetdock/internal/kind"
	"github.com/limpetdock/limpetdock/internal/mesh"
	"github.com/limpetdock/limpetdock/internal/stopping"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fakeHandler is a Handler that runs requests with a function.
type fakeHandler struct {
	run func(ctx context.Context, r *mesh.Request) (*mesh.Answer, *kind.Error)
}

func (n fakeHandler) Run(ctx context.Context, r *mesh.Request) (*mesh.Answer, *kind.Error) {
	return n.run(ctx, r)
}

func (n fakeHandler) Load() mesh.Load {
	return mesh.Load{Running: 2, Slots: 6, Slowdown: 1.5, RecoversIn: 120 * time.Millisecond, Revision: 9}
}

// loadRecorder is a Listener that keeps all reports and the last one of each node.
type loadRecorder struct {
	mu   sync.Mutex
	last map[string]mesh.Load
	all  []mesh.Load
}

func (h *loadRecorder) Reported(addr string, l mesh.Load) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.last[addr] = l
	h.all = append(h.all, l)
}

func (h *loadRecorder) load(addr string) mesh.Load {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.last[addr]
}

// stoppedClock makes no delay visible that the load of the machine causes.
func stoppedClock() time.Duration { return 0 }

func start(t *testing.T, run func(ctx context.Context, r *mesh.Request) (*mesh.Answer, *kind.Error)) (addr string, s *Server, c *Client, h *loadRecorder) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	here := mesh.Place{VM: "a", Region: "rs"}
	s = NewServer(fakeHandler{run}, here)
	s.now = stoppedClock
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = s.Serve(l)
	}()
	h = &loadRecorder{last: map[string]mesh.Load{}}
	c = NewClient(here, h)
	c.now = stoppedClock
	t.Cleanup(func() {
		c.CloseUnused(nil)
		_ = l.Close()
		<-ended
		s.Close()
	})
	return l.Addr().String(), s, c, h
}

func TestRequestAndAnswerRoundTrip(t *testing.T) {
	got := make(chan *mesh.Request, 1)
	addr, _, c, h := start(t, func(_ context.Context, r *mesh.Request) (*mesh.Answer, *kind.Error) {
		got <- r
		return &mesh.Answer{Status: 201, Header: http.Header{"A": {"b", "c"}}, Body: []byte("body"), BaseServiceTime: 30 * time.Millisecond}, nil
	})
	sent := &mesh.Request{
		ID: "id", Method: "POST", URI: "/a?b", Host: "h", Header: http.Header{"X": {"y"}}, Body: bytes.Repeat([]byte("x"), bulkSize),
		Caller: "shop", Service: "orders", Target: "i-1", Idempotent: true, Priority: 2,
		Remaining: 900 * time.Millisecond, QueueTimeout: 20 * time.Millisecond, BaseServiceTime: 90 * time.Millisecond, ObjectiveRemaining: -40 * time.Millisecond,
	}
	_, _, opened := c.link(linkKey{addr, true}).connect(t.Context())
	require.NoError(t, opened)
	answer, err := c.Run(t.Context(), addr, sent)
	require.Nil(t, err)
	require.Equal(t, sent, <-got)
	require.Equal(t, 201, answer.Status)
	require.Equal(t, []string{"b", "c"}, answer.Header["A"])
	require.Equal(t, "body", string(answer.Body))
	require.Equal(t, 30*time.Millisecond, answer.BaseServiceTime)
	require.Equal(t, fakeHandler{}.Load(), h.load(addr))
}

func TestRefusalKeepsOutcomeAndTimes(t *testing.T) {
	addr, _, c, _ := start(t, func(context.Context, *mesh.Request) (*mesh.Answer, *kind.Error) {
		return nil, &kind.Error{
			Kind: kind.Overloaded, Message: "full", Wait: 70 * time.Millisecond, RetryAfter: 90 * time.Millisecond, FromBackend: true,
		}
	})
	_, err := c.Run(t.Context(), addr, &mesh.Request{})
	require.Equal(t, kind.Overloaded, err.Kind)
	require.Equal(t, kind.NotRun, err.ReportedOutcome())
	require.Equal(t, 70*time.Millisecond, err.Wait)
	require.Equal(t, 90*time.Millisecond, err.RetryAfter)
	require.True(t, err.FromBackend)
}

// Many requests share a connection. Guards against a slow one that delays the others.
func TestSlowRequestDoesNotDelayOthers(t *testing.T) {
	release := make(chan struct{})
	addr, _, c, _ := start(t, func(_ context.Context, r *mesh.Request) (*mesh.Answer, *kind.Error) {
		if r.ID == "slow" {
			<-release
		}
		return &mesh.Answer{Status: 200, Body: []byte(r.ID)}, nil
	})
	slow := make(chan string, 1)
	go func() {
		a, _ := c.Run(context.Background(), addr, &mesh.Request{ID: "slow"})
		slow <- string(a.Body)
	}()
	for range 10 {
		a, err := c.Run(t.Context(), addr, &mesh.Request{ID: "quick"})
		require.Nil(t, err)
		require.Equal(t, "quick", string(a.Body))
	}
	close(release)
	require.Equal(t, "slow", <-slow)
}

// Guards against a backend server that keeps working on a request whose caller has
// disconnected from another VM.
func TestCancelReachesNode(t *testing.T) {
	running, ended := make(chan struct{}), make(chan struct{})
	addr, _, c, _ := start(t, func(ctx context.Context, r *mesh.Request) (*mesh.Answer, *kind.Error) {
		require.NoError(t, r.Confirm(ctx))
		close(running)
		<-ctx.Done()
		close(ended)
		return nil, kind.New(kind.OutcomeUnknown, "cancelled")
	})
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-running
		cancel()
	}()
	_, err := c.Run(ctx, addr, &mesh.Request{})
	require.Equal(t, kind.Unknown, err.ReportedOutcome())
	<-ended
}

// Guards against a wrong or late outcome when a node is killed while it runs a request.
// Whether it ran can't be known, so the outcome must be unknown, at once.
func TestOutcomeIsUnknownAfterConnectionBreaks(t *testing.T) {
	running := make(chan struct{})
	addr, s, c, _ := start(t, func(ctx context.Context, r *mesh.Request) (*mesh.Answer, *kind.Error) {
		require.NoError(t, r.Confirm(ctx))
		close(running)
		<-ctx.Done()
		return nil, kind.New(kind.OutcomeUnknown, "cancelled")
	})
	go func() {
		<-running
		s.Close()
	}()
	_, err := c.Run(t.Context(), addr, &mesh.Request{})
	require.Equal(t, kind.OutcomeUnknown, err.Kind)
	require.Equal(t, kind.Unknown, err.ReportedOutcome())
}

// Guards against an outcome that is left open, by a closed connection, for a request that a stopping
// node knows not to have run.
func TestShutdownDeliversOutcomesOfOpenRequests(t *testing.T) {
	waiting := make(chan struct{})
	addr, s, c, _ := start(t, func(ctx context.Context, _ *mesh.Request) (*mesh.Answer, *kind.Error) {
		close(waiting)
		<-ctx.Done()
		if !errors.Is(context.Cause(ctx), stopping.Err) {
			return nil, kind.New(kind.OutcomeUnknown, "cancelled")
		}
		return nil, kind.New(kind.Leaving, "the node is stopping")
	})
	shutdown := make(chan error, 1)
	go func() {
		<-waiting
		shutdown <- s.Shutdown(t.Context())
	}()
	_, err := c.Run(t.Context(), addr, &mesh.Request{Idempotent: true})
	require.Equal(t, kind.Leaving, err.Kind)
	require.Equal(t, kind.NotRun, err.ReportedOutcome())
	require.NoError(t, <-shutdown)
}

// Guards against a stop that waits for a request that doesn't end.
func TestShutdownIsBounded(t *testing.T) {
	waiting, release := make(chan struct{}), make(chan struct{})
	addr, s, c, _ := start(t, func(context.Context, *mesh.Request) (*mesh.Answer, *kind.Error) {
		close(waiting)
		<-release
		return nil, kind.New(kind.Leaving, "late")
	})
	defer close(release)
	go func() {
		<-waiting
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_ = s.Shutdown(ctx)
	}()
	_, err := c.Run(t.Context(), addr, &mesh.Request{Idempotent: true})
	require.Equal(t, kind.OutcomeUnknown, err.Kind)
}

// Guards against a request that waits until its deadline on a connection that accepts
// bytes and returns none while new connections work, as when a device between two nodes
// has lost the connection's state.
func TestUnresponsiveConnectionIsClosed(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	accepted := make(chan net.Conn, 1)
	go func() {
		if conn, err := l.Accept(); err == nil {
			accepted <- conn
		}
	}()
	c := NewClient(mesh.Place{}, &loadRecorder{last: map[string]mesh.Load{}})
	_, failure := c.Run(t.Context(), l.Addr().String(), &mesh.Request{})
	require.Equal(t, kind.OutcomeUnknown, failure.Kind)
	require.ErrorIs(t, failure.Cause, errConnLost)
	require.NoError(t, (<-accepted).Close())
	require.NoError(t, l.Close())
}

func TestRefusedDialIsUnreachable(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	addr := l.Addr().String()
	require.NoError(t, l.Close())
	c := NewClient(mesh.Place{}, &loadRecorder{})
	_, failure := c.Run(t.Context(), addr, &mesh.Request{})
	require.Equal(t, kind.Unreachable, failure.Kind)
	require.Equal(t, kind.NotRun, failure.ReportedOutcome())
}

func TestRegionReportsStayInRegion(t *testing.T) {
	addr, s, near, h := start(t, nil)
	far := &loadRecorder{last: map[string]mesh.Load{}}
	other := NewClient(mesh.Place{VM: "b", Region: "sc"}, far)
	defer other.CloseUnused(nil)
	require.NoError(t, near.Warm(t.Context(), addr))
	require.NoError(t, other.Warm(t.Context(), addr))
	require.Eventually(t, func() bool {
		s.SendLoad(mesh.Load{Slots: 3}, ScopeRegion)
		return h.load(addr).Slots == 3
	}, time.Minute, time.Millisecond)
	require.NotEqual(t, 3, far.load(addr).Slots)
	require.Eventually(t, func() bool {
		s.SendLoad(mesh.Load{Slots: 4, Leaving: true}, ScopeAll)
		return far.load(addr).Slots == 4 && far.load(addr).Leaving
	}, time.Minute, time.Millisecond)
}

// Changes of load are reported at once to nodes that use the target. A node that has sent
// no request recently receives only the next report to the whole region.
func TestSenderReportsReachOnlyRecentSenders(t *testing.T) {
	addr, s, user, h := start(t, func(context.Context, *mesh.Request) (*mesh.Answer, *kind.Error) {
		return &mesh.Answer{Status: 200}, nil
	})
	idle := &loadRecorder{last: map[string]mesh.Load{}}
	other := NewClient(mesh.Place{VM: "b", Region: "rs"}, idle)
	defer other.CloseUnused(nil)
	require.NoError(t, other.Warm(t.Context(), addr))
	_, failure := user.Run(t.Context(), addr, &mesh.Request{})
	require.Nil(t, failure)
	s.SendLoad(mesh.Load{Slots: 3}, ScopeSenders)
	require.Eventually(t, func() bool { return h.load(addr).Slots == 3 }, time.Minute, time.Millisecond)
	require.Eventually(t, func() bool {
		s.SendLoad(mesh.Load{Slots: 4}, ScopeRegion)
		return idle.load(addr).Slots == 4
	}, time.Minute, time.Millisecond)
	idle.mu.Lock()
	defer idle.mu.Unlock()
	require.NotContains(t, idle.all, mesh.Load{Slots: 3}, "it was sent only to recent senders")
}

// A node that starts while the store is unavailable knows no other node. It queries a node
// that dials it for its state; a node that has state sends no query.
func TestNodeWithoutStateQueriesNodeThatDialsIt(t *testing.T) {
	for _, needsState := range []bool{true, false} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		s := NewServer(fakeHandler{func(context.Context, *mesh.Request) (*mesh.Answer, *kind.Error) {
			return &mesh.Answer{Status: 200}, nil
		}}, mesh.Place{})
		received := make(chan string, 1)
		s.SetStateSync(func() bool { return needsState }, StateSync{Apply: func(state []byte) { received <- string(state) }})
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			_ = s.Serve(l)
		}()
		c := NewClient(mesh.Place{}, &loadRecorder{last: map[string]mesh.Load{}})
		c.SetStateSync(StateSync{Answer: func(q StateQuery) []byte {
			require.Equal(t, StateQuery{Whole: true}, q)
			return []byte("the whole state")
		}})
		_, failure := c.Run(t.Context(), l.Addr().String(), &mesh.Request{})
		require.Nil(t, failure)
		if needsState {
			require.Equal(t, "the whole state", <-received)
		}
		_, failure = c.Run(t.Context(), l.Addr().String(), &mesh.Request{})
		require.Nil(t, failure)
		require.Empty(t, received)
		c.CloseUnused(nil)
		require.NoError(t, l.Close())
		<-ended
		s.Close()
	}
}

// A node that has missed state updates queries a node that reported them, over the
// connection over which it receives reports. An empty answer is passed on too, as it means
// that the store has to be queried. Without a connection the query fails.
func TestStateQueryNeedsOpenConnection(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := NewServer(fakeHandler{}, mesh.Place{})
	s.SetStateSync(func() bool { return false }, StateSync{Answer: func(q StateQuery) []byte {
		if q.After == 7 {
			return []byte("since seven")
		}
		return nil
	}})
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = s.Serve(l)
	}()
	addr, received := l.Addr().String(), make(chan string, 1)
	c := NewClient(mesh.Place{}, &loadRecorder{last: map[string]mesh.Load{}})
	c.SetStateSync(StateSync{Apply: func(answer []byte) { received <- string(answer) }})
	t.Cleanup(func() {
		c.CloseUnused(nil)
		_ = l.Close()
		<-ended
		s.Close()
	})
	require.ErrorIs(t, c.Ask(addr, StateQuery{After: 7}), errNotConnected)
	require.NoError(t, c.Warm(t.Context(), addr))
	require.NoError(t, c.Ask(addr, StateQuery{After: 7}))
	require.Equal(t, "since seven", <-received)
	require.NoError(t, c.Ask(addr, StateQuery{After: 8}))
	require.Empty(t, <-received)
}

func FuzzDecode(f *testing.F) {
	frame, err := encode(frameRequest, 7, fromRequest(&mesh.Request{ID: "a", Body: []byte("b")}))
	require.NoError(f, err)
	f.Add(frame)
	f.Add([]byte{0, 0, 0, 1, 99, 0, 0, 0, 0, 1})
	f.Add([]byte{255, 255, 255, 255, 1, 0, 0, 0, 0})
	f.Fuzz(func(t *testing.T, b []byte) {
		kind, _, body, err := decode(bufio.NewReader(bytes.NewReader(b)))
		if err != nil {
			return
		}
		require.GreaterOrEqual(t, kind, frameHello)
		require.LessOrEqual(t, len(body)+prefixSize, len(b))
	})
}
