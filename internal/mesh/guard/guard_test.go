package guard_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetdock/limpetdock/internal/kind"
	"github.com/limpetdock/limpetdock/internal/mesh"
	"github.com/limpetdock/limpetdock/internal/mesh/exchange"
	"github.com/limpetdock/limpetdock/internal/mesh/guard"
	"github.com/limpetdock/limpetdock/internal/mesh/model"
)

var dialect = model.Dialect

type fixture struct {
	*guard.Guard
	now  atomic.Int64
	view *mesh.View
	got  atomic.Int32
}

// newFixture makes a guard in front of a backend server that answers by f.
func newFixture(t *testing.T, slots int, f http.HandlerFunc) *fixture {
	x := &fixture{}
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		x.got.Add(1)
		w.Header().Set("X-Id", r.Header.Get("X-Id"))
		f(w, r)
	}))
	t.Cleanup(s.Close)
	client := exchange.NewClient(strings.TrimPrefix(s.URL, "http://"), dialect.Headers)
	t.Cleanup(client.Close)
	x.Guard = guard.New(guard.Config{
		Here: mesh.Place{Service: "orders"}, Dialect: dialect, Backend: client,
		Now: func() time.Duration { return time.Duration(x.now.Load()) }, Changed: func(bool) {},
	})
	x.view = &mesh.View{
		Config: mesh.NewConfig(1, map[string]*mesh.Service{"orders": {Name: "orders", HealthPath: "/health"}}, nil, mesh.Limits{}),
		Own:    &mesh.Target{ID: "i-1", Service: "orders", Slots: slots, Addr: "h"},
	}
	x.SetView(x.view)
	return x
}

func request() *mesh.Request {
	return &mesh.Request{
		ID: "id", Method: "POST", URI: "/a", Host: "h", Header: http.Header{}, Caller: "shop", Service: "orders",
		Target: "i-1", Left: time.Minute, Patience: time.Minute, AimLeft: time.Minute,
	}
}

func signed(w http.ResponseWriter, _ *http.Request) { w.Header().Set("X-Signature", "s") }

func TestTheBackendServerIsToldWhatItNeeds(t *testing.T) {
	var got http.Header
	x := newFixture(t, 4, func(w http.ResponseWriter, r *http.Request) {
		got = r.Header.Clone()
		signed(w, r)
	})
	answer, err := x.Run(t.Context(), request())
	require.Nil(t, err)
	require.Equal(t, 200, answer.Status)
	require.Equal(t, "i-1", got.Get("X-Expected"))
	require.Equal(t, "shop", got.Get("X-Caller"))
	require.Equal(t, "60000", got.Get("X-Timeout"))
}

func TestAnswersOfTheBackendServerAreToldApart(t *testing.T) {
	cases := map[string]struct {
		answer  http.HandlerFunc
		kind    kind.Kind
		outcome kind.Outcome
	}{
		"refused": {func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("X-Not-Run", "1")
			w.WriteHeader(503)
		}, kind.Overloaded, kind.NotRun},
		"another one's address": {func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(421) }, kind.StaleAttempt, kind.NotRun},
		"success without proof": {func(http.ResponseWriter, *http.Request) {}, kind.BackendBroken, kind.Unknown},
		"reset":                 {func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, kind.BackendBroken, kind.Unknown},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := newFixture(t, 4, c.answer).Run(t.Context(), request())
			require.Equal(t, c.kind, err.Kind)
			require.Equal(t, c.outcome, err.Said())
		})
	}
}

// A backend server's own failure is its answer, and handed on as it is.
func TestAFailureOfTheBackendServerIsItsAnswer(t *testing.T) {
	x := newFixture(t, 4, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(500) })
	answer, err := x.Run(t.Context(), request())
	require.Nil(t, err)
	require.Equal(t, 500, answer.Status)
}

func TestNothingIsSentThatMustNotRun(t *testing.T) {
	x := newFixture(t, 4, signed)
	other := request()
	other.Service = "stock"
	_, err := x.Run(t.Context(), other)
	require.Equal(t, kind.StaleConfig, err.Kind)
	x.view.Own.State = mesh.Draining
	x.SetView(x.view)
	_, err = x.Run(t.Context(), request())
	require.Equal(t, kind.Leaving, err.Kind)
	require.True(t, x.Load().Leaving)
	x.view.Own.State = mesh.Ready
	x.SetView(x.view)
	x.Stop()
	_, err = x.Run(t.Context(), request())
	require.Equal(t, kind.Leaving, err.Kind)
	require.Equal(t, kind.NotRun, err.Said())
	require.Zero(t, x.got.Load())
}

// The VM was suspended while a booking waited here for its slot. By the clock that
// counts the pause its time is over; its caller may have booked again.
func TestARequestWhoseTimePassedWhileSuspendedIsNotSent(t *testing.T) {
	release := make(chan struct{})
	started := make(chan struct{}, 2)
	x := newFixture(t, 1, func(w http.ResponseWriter, r *http.Request) {
		started <- struct{}{}
		<-release
		signed(w, r)
	})
	first := make(chan *kind.Error, 1)
	go func() {
		_, err := x.Run(context.Background(), request())
		first <- err
	}()
	<-started
	second := make(chan *kind.Error, 1)
	go func() {
		_, err := x.Run(context.Background(), request())
		second <- err
	}()
	require.Eventually(t, func() bool { return x.Load().Waiting == 1 }, time.Minute, time.Millisecond)
	x.now.Store(int64(2 * time.Minute))
	close(release)
	require.Nil(t, <-first)
	err := <-second
	require.Equal(t, kind.NotRun, err.Said())
	require.EqualValues(t, 1, x.got.Load())
}

// The backend server's registration ends while a request waits for its slot. The
// node went down with every request on it, as it looked for the load of a target
// that was no longer there.
func TestATargetThatGoesWhileRequestsWaitHarmsNobody(t *testing.T) {
	var told atomic.Bool
	release, started := make(chan struct{}), make(chan struct{}, 2)
	x := newFixture(t, 1, func(w http.ResponseWriter, r *http.Request) {
		if told.CompareAndSwap(false, true) {
			w.Header().Set("X-Load", "1 1")
		}
		started <- struct{}{}
		<-release
		signed(w, r)
	})
	go func() { release <- struct{}{} }()
	_, err := x.Run(t.Context(), request())
	require.Nil(t, err, "the load is known now")
	<-started
	failures := make(chan *kind.Error, 2)
	run := func() {
		_, err := x.Run(context.Background(), request())
		failures <- err
	}
	go run()
	<-started
	go run()
	require.Eventually(t, func() bool { return x.Load().Waiting == 1 }, time.Minute, time.Millisecond)
	gone := *x.view
	gone.Own = nil
	x.SetView(&gone)
	x.now.Store(int64(time.Second))
	close(release)
	require.Nil(t, <-failures, "what runs is seen through")
	require.Equal(t, kind.Leaving, (<-failures).Kind)
}

// The backend server is full. A stock check that a running order waits for goes
// ahead of catalogue reads that came before it.
func TestTheMoreUrgentRunsFirst(t *testing.T) {
	release := make(chan struct{})
	order := make(chan string, 4)
	x := newFixture(t, 1, func(w http.ResponseWriter, r *http.Request) {
		order <- r.Header.Get("X-Id")
		<-release
		signed(w, r)
	})
	done := make(chan struct{}, 3)
	run := func(id string, priority int) {
		r := request()
		r.ID, r.Priority = id, priority
		go func() {
			_, _ = x.Run(context.Background(), r)
			done <- struct{}{}
		}()
	}
	run("first", 2)
	require.Equal(t, "first", <-order)
	run("catalogue", 2)
	require.Eventually(t, func() bool { return x.Load().Waiting == 1 }, time.Minute, time.Millisecond)
	run("stock check", 0)
	require.Eventually(t, func() bool { return x.Load().Waiting == 2 }, time.Minute, time.Millisecond)
	close(release)
	require.Equal(t, "stock check", <-order)
	require.Equal(t, "catalogue", <-order)
	for range 3 {
		<-done
	}
}

// A caller that may go elsewhere says how long it waits at most. A longer queue
// refuses it at once and tells the wait.
func TestAnImpatientRequestIsRefusedWithTheWait(t *testing.T) {
	const work = 50 * time.Millisecond
	release := make(chan struct{})
	started := make(chan struct{}, 1)
	x := newFixture(t, 1, func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("X-Id") == "measured" {
			time.Sleep(work)
		} else {
			started <- struct{}{}
			<-release
		}
		signed(w, r)
	})
	measured := request()
	measured.ID = "measured"
	_, err := x.Run(t.Context(), measured)
	require.Nil(t, err)
	done := make(chan struct{})
	go func() {
		defer close(done)
		_, _ = x.Run(context.Background(), request())
	}()
	<-started
	hasty := request()
	hasty.Patience = work / 10
	_, err = x.Run(t.Context(), hasty)
	close(release)
	<-done
	require.Equal(t, kind.Overloaded, err.Kind)
	require.Equal(t, kind.NotRun, err.Said())
	require.GreaterOrEqual(t, err.Wait, work)
}

// A booking is at work when its caller leaves. Breaking it off would leave its
// outcome open; a read is broken off, as nobody waits for it.
func TestOnlyReadsAreBrokenOff(t *testing.T) {
	for _, idempotent := range []bool{true, false} {
		started, release := make(chan struct{}), make(chan struct{})
		cancelled := make(chan bool, 1)
		x := newFixture(t, 1, func(w http.ResponseWriter, r *http.Request) {
			close(started)
			select {
			case <-r.Context().Done():
				cancelled <- true
			case <-release:
				cancelled <- false
			}
			signed(w, r)
		})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			r := request()
			r.Idempotent = idempotent
			_, _ = x.Run(ctx, r)
		}()
		<-started
		cancel()
		if !idempotent {
			close(release)
		}
		<-done
		require.Equal(t, idempotent, <-cancelled)
	}
}

func TestTheBackendServersWordCountsForTheLoad(t *testing.T) {
	x := newFixture(t, 4, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Load", "1 3.5")
		signed(w, r)
	})
	_, err := x.Run(t.Context(), request())
	require.Nil(t, err)
	require.InDelta(t, 3.5, x.Load().Slowdown, 0.01)
}

func TestFillLeavesSlotsFree(t *testing.T) {
	x := newFixture(t, 6, signed)
	x.SetFill(0.8)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	x.now.Store(int64(time.Minute))
	_, err := x.Run(ctx, request())
	require.Nil(t, err)
	require.LessOrEqual(t, x.Load().Slots, 4)
}

func TestNobodyListening(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, l.Close())
	x := newFixture(t, 1, signed)
	x.Backend = exchange.NewClient(l.Addr().String(), dialect.Headers)
	_, failure := x.Run(t.Context(), request())
	require.Equal(t, kind.Unreachable, failure.Kind)
	require.Equal(t, kind.NotRun, failure.Said())
}

// A request waited so long that its caller gives up before any backend server could answer.
// Sent all the same it would cost a slot, and its outcome would be open; unsent, it is known
// that it didn't run.
func TestWhatCannotBeAnsweredAnyMoreIsNotSent(t *testing.T) {
	x := newFixture(t, 4, signed)
	r := request()
	r.Work, r.Left = time.Second, 300*time.Millisecond
	_, err := x.Run(t.Context(), r)
	require.Equal(t, kind.NotRun, err.Said())
	require.Zero(t, x.got.Load())
}

// Guards against a booking that runs though its entry has given it up, or can't be asked.
func TestARequestThatIsNotConfirmedIsNotSent(t *testing.T) {
	x := newFixture(t, 4, signed)
	r := request()
	r.Confirm = func(context.Context) error { return context.Canceled }
	_, err := x.Run(t.Context(), r)
	require.Equal(t, kind.DeadlineNotRun, err.Kind)
	require.Equal(t, kind.NotRun, err.Said())
	require.Zero(t, x.got.Load())
	r = request()
	r.Confirm = func(context.Context) error { return nil }
	_, err = x.Run(t.Context(), r)
	require.Nil(t, err)
	require.EqualValues(t, 1, x.got.Load())
}
