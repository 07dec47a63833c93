package entry_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetdock/limpetdock/fleet"
	"github.com/limpetdock/limpetdock/internal/budget"
	"github.com/limpetdock/limpetdock/internal/entry"
	"github.com/limpetdock/limpetdock/internal/guard"
	"github.com/limpetdock/limpetdock/internal/headers"
	"github.com/limpetdock/limpetdock/internal/kind"
	"github.com/limpetdock/limpetdock/internal/pick"
	"github.com/limpetdock/limpetdock/internal/place"
	"github.com/limpetdock/limpetdock/internal/wire"
)

// runningPeers reports that every queried request is still running.
type runningPeers struct{}

func (runningPeers) CallNew(context.Context, string, wire.Message) (wire.Message, error) {
	return &wire.Sealed{State: wire.AttemptRunning}, nil
}

// Call answers a probe.
func (runningPeers) Call(context.Context, string, wire.Message) (wire.Message, error) {
	return &wire.Load{Running: 1, Slots: 4, ServiceUs: 5000}, nil
}

const probeCost = 100

func (runningPeers) Cost(wire.Message) int { return probeCost }

// fixture is an entry, and guards whose backend servers run a handler.
type fixture struct {
	entry  *entry.Entry
	view   *pick.View
	runs   atomic.Int64
	guards []*guard.Guard
	// measuring is the entry's own budget.
	measuring *budget.Measuring
	// budgets are the guards' measuring budgets.
	budgets []*budget.Measuring
}

// newFixture declares one service with three targets and a team, modified by change.
func newFixture(t *testing.T, change func(*fleet.Fleet), backend http.HandlerFunc) *fixture {
	t.Helper()
	f := fleet.Fleet{
		Name: "shop", Revision: 1, Zones: []fleet.Zone{{Name: "a", Region: "r"}}, Teams: []fleet.Team{{Name: "store"}},
		Services: []fleet.Service{{
			Name: "orders", Team: "store", Policy: fleet.PolicyTwoLoad,
			Routes: []fleet.Route{{Name: "read", Methods: []string{"GET"}, Path: "/*", Idempotent: true}},
		}},
	}
	for _, vm := range []string{"vm-1", "vm-2", "vm-3"} {
		f.Services[0].Targets = append(f.Services[0].Targets, fleet.Target{VM: vm, Zone: "a", Slots: 4})
	}
	change(&f)
	c := assemble(t, f)
	start := time.Now()
	now := func() time.Duration { return time.Since(start) }
	b := &fixture{view: &pick.View{Config: c, Here: pick.Place{VM: "vm-0", Zone: "a", Region: "r"}, Nodes: 4}}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/healthz" {
			// The gates start without delay, as no request is running.
			_, _ = io.WriteString(w, `{"state":"live","running":0}`)
			return
		}
		b.runs.Add(1)
		backend(w, r)
	}))
	t.Cleanup(server.Close)
	base, err := url.Parse(server.URL)
	require.NoError(t, err)
	svc := c.Services["orders"]
	var targets []*pick.Target
	for _, declared := range svc.Targets {
		p := pick.Place{VM: declared.VM, Zone: "a", Region: "r"}
		g := guard.New(base, 1, now)
		m := budget.NewMeasuring(now)
		g.SetMeasuring(m)
		b.guards, b.budgets = append(b.guards, g), append(b.budgets, m)
		g.SetView(&pick.View{Config: c, Here: p})
		_, err := g.Health(t.Context(), "/healthz")
		require.NoError(t, err)
		front := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			// As on a node's port, a sender of another fleet gets no information.
			if r.Header.Get(headers.Fleet) != c.Fleet() {
				w.WriteHeader(http.StatusForbidden)
				return
			}
			g.ServeHTTP(w, r)
		}))
		t.Cleanup(front.Close)
		targets = append(targets, &pick.Target{
			Place: p, Slots: declared.Slots, Connections: declared.Connections, Distance: place.SameZone,
			Guard: strings.TrimPrefix(front.URL, "http://"), Stat: &pick.Stat{},
		})
	}
	s := pick.NewService(svc, targets, targets, len(targets), &pick.Shared{})
	s.Stamp = c.Stamp(svc, "vm-1").String()
	b.view.Services = map[string]*pick.Service{"orders": s}
	b.measuring = budget.NewMeasuring(now)
	b.measuring.SetBudget(c.Index.Fleet.Budget)
	b.entry = entry.New(entry.Config{Measuring: b.measuring, Peers: runningPeers{}, Observer: discardObserver{}, Now: now})
	b.entry.SetView(b.view)
	t.Cleanup(b.entry.Close)
	return b
}

// get sends one caller's request.
func (b *fixture) get(header ...string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(http.MethodGet, "/x", nil)
	r.Header.Set(headers.Service, "orders")
	for i := 0; i+1 < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	w := httptest.NewRecorder()
	b.entry.ServeHTTP(w, r)
	return w
}

func ok(w http.ResponseWriter, r *http.Request) {
	// The entry must ignore a load report that a backend server sends instead of the guard.
	w.Header().Set(headers.Load, "0,0,99,1,1")
	w.Header().Set("X-Seen", r.Header.Get(headers.RetriesLeft))
}

func abortExchange(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

// All backend servers abort every request, for example because a database is down. Unbounded
// retries would triple the load of these servers.
func TestRetriesAreLimitedToShareOfTraffic(t *testing.T) {
	b := newFixture(t, func(f *fleet.Fleet) { f.Services[0].RetryPercent = 10 }, abortExchange)
	const requests = 200
	for range requests {
		w := b.get()
		require.Equal(t, string(kind.Unknown), w.Header().Get(headers.Outcome))
		require.NotEmpty(t, w.Header().Get("Retry-After"))
	}
	most := int64(requests*11/10 + 10)
	require.LessOrEqual(t, b.runs.Load(), most, "10 % of the requests, and the reserve")
	require.Greater(t, b.runs.Load(), most-5, "nearly the whole budget is used")
	uses := b.entry.RetryUses()
	require.EqualValues(t, b.runs.Load()-requests, uses[0].Granted)
	require.Positive(t, uses[0].Denied)
}

// Guards against a request deep in a call chain that is retried at every level above it.
func TestCallChainPassesRemainingRetriesOn(t *testing.T) {
	b := newFixture(t, func(*fleet.Fleet) {}, ok)
	for sent, want := range map[string]string{"": "2", "1": "1", "0": "0", "77": "2"} {
		require.Equal(t, want, b.get(headers.RetriesLeft, sent).Header().Get("X-Seen"), sent)
	}
	b = newFixture(t, func(*fleet.Fleet) {}, abortExchange)
	for remaining, want := range map[string]int64{"0": 1, "1": 2, "2": 3} {
		b.runs.Store(0)
		b.get(headers.RetriesLeft, remaining)
		require.Equal(t, want, b.runs.Load(), remaining)
	}
}

// All targets are full. Sending each request to all three would triple the work for the same
// answer; it must be refused at once, with a Retry-After header.
func TestRetriesAfterRefusalsAreBoundedUnderOverload(t *testing.T) {
	block := make(chan struct{})
	b := newFixture(t, func(f *fleet.Fleet) {
		f.Services[0].Queue = 1
		for i := range f.Services[0].Targets {
			f.Services[0].Targets[i].Slots = 1
		}
	}, func(http.ResponseWriter, *http.Request) { <-block })
	defer close(block)
	full := func() bool {
		if slices.ContainsFunc(b.guards, func(g *guard.Guard) bool { return g.Load().Waiting == 0 }) {
			go b.get()
			return false
		}
		return true
	}
	require.Eventually(t, full, 20*time.Second, 5*time.Millisecond)
	before := b.refusals()
	const requests = 200
	for range requests {
		w := b.get()
		require.Equal(t, string(kind.Overloaded), w.Header().Get(headers.Kind))
		require.Equal(t, string(kind.NotRun), w.Header().Get(headers.Outcome))
		require.NotEmpty(t, w.Header().Get("Retry-After"))
	}
	hops := b.refusals() - before - requests
	t.Logf("%d refused requests were sent to another target %d times; without a budget it would be %d", requests, hops, 2*requests)
	require.LessOrEqual(t, hops, uint64(requests*4/10+40))
	require.EqualValues(t, 3, b.runs.Load(), "none of the refused ran")
}

// refusals returns how many requests the guards refused.
func (b *fixture) refusals() (n uint64) {
	for _, g := range b.guards {
		n += g.Load().Refused
	}
	return n
}

func TestRequestOverLimitIsRefusedAtOnce(t *testing.T) {
	inside, block := make(chan struct{}), make(chan struct{})
	b := newFixture(t, func(f *fleet.Fleet) { f.Teams[0].InFlight = 1 }, func(http.ResponseWriter, *http.Request) {
		close(inside)
		<-block
	})
	done := make(chan struct{})
	go func() {
		b.get()
		close(done)
	}()
	<-inside
	w := b.get()
	close(block)
	<-done
	require.Equal(t, http.StatusTooManyRequests, w.Code)
	require.Equal(t, string(kind.NotRun), w.Header().Get(headers.Outcome))
	seconds, err := strconv.Atoi(w.Header().Get("Retry-After"))
	require.NoError(t, err)
	require.Positive(t, seconds)
	require.EqualValues(t, 1, b.runs.Load())
}

// The guard's load reports must reach the entry but not the caller, and a backend server must
// not be able to appear idle by sending its own.
func TestGuardLoadReachesEntryButNotCallers(t *testing.T) {
	b := newFixture(t, func(*fleet.Fleet) {}, ok)
	// The measuring budget starts empty, so the first answers may lack a report.
	require.Eventually(t, func() bool {
		w := b.get()
		require.Equal(t, http.StatusOK, w.Code)
		require.Empty(t, w.Header().Get(headers.Load), "not sent to callers")
		return b.anyReport() != nil
	}, 5*time.Second, 10*time.Millisecond)
	require.Equal(t, 4, b.anyReport().Slots, "the guard's count, not the backend server's")
	for _, target := range b.view.Services["orders"].Targets {
		require.Zero(t, target.Stat.InFlight.Load())
	}
}

// anyReport returns a report of any target, or nil.
func (b *fixture) anyReport() *pick.Report {
	for _, target := range b.view.Services["orders"].Targets {
		if r := target.LastReport(); r != nil {
			return r
		}
	}
	return nil
}

func TestPolicyWithoutReportsUsesNoMeasuringBudget(t *testing.T) {
	b := newFixture(t, func(f *fleet.Fleet) { f.Services[0].Policy = fleet.PolicyTwoChoices }, ok)
	for range 50 {
		b.get()
	}
	require.Nil(t, b.anyReport())
	for _, m := range b.budgets {
		require.Zero(t, m.Spent().Bytes.Load())
	}
}

// Guards against probes for a service without traffic, and against probes that are not charged
// to the measuring budget before they are sent.
func TestProbesNeedTrafficAndBudget(t *testing.T) {
	b := newFixture(t, func(f *fleet.Fleet) { f.Services[0].Policy = fleet.PolicyProbe }, ok)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		b.entry.Run(ctx)
		close(ended)
	}()
	identitiesKnown := func() bool {
		return !slices.ContainsFunc(b.view.Services["orders"].Targets, func(t *pick.Target) bool {
			return t.Stat.Identity() == nil
		})
	}
	require.Eventually(t, identitiesKnown, 10*time.Second, 10*time.Millisecond, "a connection to each target is opened ahead of use")
	require.Zero(t, b.measuring.Spent().Requests.Load())
	require.Eventually(t, func() bool {
		b.get()
		return b.anyReport() != nil
	}, 10*time.Second, 10*time.Millisecond)
	cancel()
	<-ended
	spent := b.measuring.Spent()
	require.Equal(t, spent.Requests.Load()*probeCost, spent.Bytes.Load())
}
