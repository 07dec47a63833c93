package peer

import (
	"bufio"
	"bytes"
	"context"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"github.com/limpetdock/limpetdock/internal/kind"
	"github.com/limpetdock/limpetdock/internal/mesh"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// node runs requests by a function.
type node struct {
	run func(ctx context.Context, r *mesh.Request) (*mesh.Answer, *kind.Error)
}

func (n node) Run(ctx context.Context, r *mesh.Request) (*mesh.Answer, *kind.Error) {
	return n.run(ctx, r)
}

func (n node) Load() mesh.Load {
	return mesh.Load{Running: 2, Slots: 6, Slowdown: 1.5, CalmIn: 120 * time.Millisecond, Revision: 9}
}

// heard keeps the last load of each node.
type heard struct {
	mu   sync.Mutex
	last map[string]mesh.Load
	all  []mesh.Load
}

func (h *heard) Reported(addr string, l mesh.Load) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.last[addr] = l
	h.all = append(h.all, l)
}

func (h *heard) of(addr string) mesh.Load {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.last[addr]
}

func start(t *testing.T, run func(ctx context.Context, r *mesh.Request) (*mesh.Answer, *kind.Error)) (addr string, s *Server, c *Client, h *heard) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	here := mesh.Place{VM: "a", Region: "rs"}
	s = NewServer(node{run}, here)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = s.Serve(l)
	}()
	h = &heard{last: map[string]mesh.Load{}}
	c = NewClient(here, h)
	t.Cleanup(func() {
		c.Keep(nil)
		_ = l.Close()
		<-ended
		s.Close()
	})
	return l.Addr().String(), s, c, h
}

func TestARequestAndItsAnswerTravelWhole(t *testing.T) {
	got := make(chan *mesh.Request, 1)
	addr, _, c, h := start(t, func(_ context.Context, r *mesh.Request) (*mesh.Answer, *kind.Error) {
		got <- r
		return &mesh.Answer{Status: 201, Header: http.Header{"A": {"b", "c"}}, Body: []byte("body"), Work: 30 * time.Millisecond}, nil
	})
	sent := &mesh.Request{
		ID: "id", Method: "POST", URI: "/a?b", Host: "h", Header: http.Header{"X": {"y"}}, Body: bytes.Repeat([]byte("x"), bulkSize),
		Caller: "shop", Service: "orders", Target: "i-1", Idempotent: true, Priority: 2,
		Left: 900 * time.Millisecond, Patience: 20 * time.Millisecond, Work: 90 * time.Millisecond, AimLeft: -40 * time.Millisecond,
	}
	_, _, opened := c.link(linkKey{addr, true}).connect(t.Context())
	require.NoError(t, opened)
	answer, err := c.Run(t.Context(), addr, sent)
	require.Nil(t, err)
	require.Equal(t, sent, <-got)
	require.Equal(t, 201, answer.Status)
	require.Equal(t, []string{"b", "c"}, answer.Header["A"])
	require.Equal(t, "body", string(answer.Body))
	require.Equal(t, 30*time.Millisecond, answer.Work)
	require.Equal(t, node{}.Load(), h.of(addr))
}

func TestARefusalKeepsWhatItProves(t *testing.T) {
	addr, _, c, _ := start(t, func(context.Context, *mesh.Request) (*mesh.Answer, *kind.Error) {
		return nil, &kind.Error{
			Kind: kind.Overloaded, Message: "full", Wait: 70 * time.Millisecond, RetryAfter: 90 * time.Millisecond, FromBackend: true,
		}
	})
	_, err := c.Run(t.Context(), addr, &mesh.Request{})
	require.Equal(t, kind.Overloaded, err.Kind)
	require.Equal(t, kind.NotRun, err.Said())
	require.Equal(t, 70*time.Millisecond, err.Wait)
	require.Equal(t, 90*time.Millisecond, err.RetryAfter)
	require.True(t, err.FromBackend)
}

// Many requests share a connection. A slow one must not hold up the others.
func TestRequestsDoNotWaitForEachOther(t *testing.T) {
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

// A caller leaves while its request runs on another VM. That node must learn of
// it, or its backend server goes on working for nobody.
func TestACancelReachesTheNode(t *testing.T) {
	running, ended := make(chan struct{}), make(chan struct{})
	addr, _, c, _ := start(t, func(ctx context.Context, _ *mesh.Request) (*mesh.Answer, *kind.Error) {
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
	require.Equal(t, kind.Unknown, err.Said())
	<-ended
}

// A node is killed while it runs a booking. Nobody can tell whether it ran, so
// the entry must be told "unknown", and at once.
func TestABrokenConnectionLeavesTheOutcomeOpen(t *testing.T) {
	running := make(chan struct{})
	addr, s, c, _ := start(t, func(ctx context.Context, _ *mesh.Request) (*mesh.Answer, *kind.Error) {
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
	require.Equal(t, kind.Unknown, err.Said())
}

// Something between two nodes has lost track of their connection: it takes bytes
// and gives none, while new connections work. The request must not wait on it
// until its deadline.
func TestASilentConnectionIsGivenUp(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	accepted := make(chan net.Conn, 1)
	go func() {
		if conn, err := l.Accept(); err == nil {
			accepted <- conn
		}
	}()
	c := NewClient(mesh.Place{}, &heard{last: map[string]mesh.Load{}})
	_, failure := c.Run(t.Context(), l.Addr().String(), &mesh.Request{})
	require.Equal(t, kind.OutcomeUnknown, failure.Kind)
	require.ErrorIs(t, failure.Cause, errSilent)
	require.NoError(t, (<-accepted).Close())
	require.NoError(t, l.Close())
}

func TestNobodyListeningIsUnreachable(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	addr := l.Addr().String()
	require.NoError(t, l.Close())
	c := NewClient(mesh.Place{}, &heard{})
	_, failure := c.Run(t.Context(), addr, &mesh.Request{})
	require.Equal(t, kind.Unreachable, failure.Kind)
	require.Equal(t, kind.NotRun, failure.Said())
}

func TestReportsReachTheOwnRegionOnly(t *testing.T) {
	addr, s, near, h := start(t, nil)
	far := &heard{last: map[string]mesh.Load{}}
	other := NewClient(mesh.Place{VM: "b", Region: "sc"}, far)
	defer other.Keep(nil)
	require.NoError(t, near.Warm(t.Context(), addr))
	require.NoError(t, other.Warm(t.Context(), addr))
	require.Eventually(t, func() bool {
		s.Tell(mesh.Load{Slots: 3}, Region)
		return h.of(addr).Slots == 3
	}, time.Minute, time.Millisecond)
	require.Zero(t, far.of(addr).Slots)
	require.Eventually(t, func() bool {
		s.Tell(mesh.Load{Slots: 4, Leaving: true}, Everybody)
		return far.of(addr).Slots == 4 && far.of(addr).Leaving
	}, time.Minute, time.Millisecond)
}

// Changes of load go to nodes that use the target, as fast as it changes. One that has
// sent nothing lately is left out until the next report to the whole region.
func TestChangesOfLoadReachThoseWhoUseTheTarget(t *testing.T) {
	addr, s, user, h := start(t, func(context.Context, *mesh.Request) (*mesh.Answer, *kind.Error) {
		return &mesh.Answer{Status: 200}, nil
	})
	idle := &heard{last: map[string]mesh.Load{}}
	other := NewClient(mesh.Place{VM: "b", Region: "rs"}, idle)
	defer other.Keep(nil)
	require.NoError(t, other.Warm(t.Context(), addr))
	_, failure := user.Run(t.Context(), addr, &mesh.Request{})
	require.Nil(t, failure)
	s.Tell(mesh.Load{Slots: 3}, Users)
	require.Eventually(t, func() bool { return h.of(addr).Slots == 3 }, time.Minute, time.Millisecond)
	require.Eventually(t, func() bool {
		s.Tell(mesh.Load{Slots: 4}, Region)
		return idle.of(addr).Slots == 4
	}, time.Minute, time.Millisecond)
	idle.mu.Lock()
	defer idle.mu.Unlock()
	require.NotContains(t, idle.all, mesh.Load{Slots: 3}, "that went to users only")
}

// A node starts while the store is away and knows no other. One that dials it still
// knows everything and tells it when asked; one that has its state isn't told.
func TestANodeWithoutStateIsToldByWhoDialsIt(t *testing.T) {
	for _, lacks := range []bool{true, false} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		s := NewServer(node{func(context.Context, *mesh.Request) (*mesh.Answer, *kind.Error) {
			return &mesh.Answer{Status: 200}, nil
		}}, mesh.Place{})
		told := make(chan string, 1)
		s.OnNews(func() bool { return lacks }, News{Take: func(state []byte) { told <- string(state) }})
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			_ = s.Serve(l)
		}()
		c := NewClient(mesh.Place{}, &heard{last: map[string]mesh.Load{}})
		c.OnNews(News{Give: func(q Question) []byte {
			require.Equal(t, Question{Whole: true}, q)
			return []byte("all that I know")
		}})
		_, failure := c.Run(t.Context(), l.Addr().String(), &mesh.Request{})
		require.Nil(t, failure)
		if lacks {
			require.Equal(t, "all that I know", <-told)
		}
		_, failure = c.Run(t.Context(), l.Addr().String(), &mesh.Request{})
		require.Nil(t, failure)
		require.Empty(t, told)
		c.Keep(nil)
		require.NoError(t, l.Close())
		<-ended
		s.Close()
	}
}

// A node has missed news of the store and asks one that told of them, over the
// connection over which it hears of it. An empty answer arrives too, as it says that
// the store is to be asked; without a connection there is nobody to ask.
func TestNewsAreAskedForOverAnOpenConnection(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := NewServer(node{}, mesh.Place{})
	s.OnNews(func() bool { return false }, News{Give: func(q Question) []byte {
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
	addr, told := l.Addr().String(), make(chan string, 1)
	c := NewClient(mesh.Place{}, &heard{last: map[string]mesh.Load{}})
	c.OnNews(News{Take: func(answer []byte) { told <- string(answer) }})
	t.Cleanup(func() {
		c.Keep(nil)
		_ = l.Close()
		<-ended
		s.Close()
	})
	require.ErrorIs(t, c.Ask(addr, Question{After: 7}), errNotConnected)
	require.NoError(t, c.Warm(t.Context(), addr))
	require.NoError(t, c.Ask(addr, Question{After: 7}))
	require.Equal(t, "since seven", <-told)
	require.NoError(t, c.Ask(addr, Question{After: 8}))
	require.Empty(t, <-told)
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
