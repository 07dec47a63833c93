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

	"github.com/limpetdock/limpetdock/internal/death"
	"github.com/limpetdock/limpetdock/internal/kind"
	"github.com/limpetdock/limpetdock/internal/mesh"
	"github.com/limpetdock/limpetdock/internal/mesh/exchange"
	"github.com/limpetdock/limpetdock/internal/mesh/guard"
	"github.com/limpetdock/limpetdock/internal/mesh/model"
	"github.com/limpetdock/limpetdock/internal/mesh/quarantine"
	"github.com/limpetdock/limpetdock/internal/stopping"
)

var dialect = model.Dialect

type fixture struct {
	*guard.Guard
	now      atomic.Int64
	view     *mesh.View
	received atomic.Int32
	// handlesHealth is true if the handler receives health checks, too. Otherwise they succeed and
	// aren't counted.
	handlesHealth atomic.Bool
}

// newFixture returns a guard for a backend server whose handler is f.
func newFixture(t *testing.T, slots int, f http.HandlerFunc) *fixture {
	x := &fixture{}
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/health" && !x.handlesHealth.Load() {
			return
		}
		x.received.Add(1)
		w.Header().Set("X-Id", r.Header.Get("X-Id"))
		f(w, r)
	}))
	t.Cleanup(s.Close)
	client := exchange.NewClient(strings.TrimPrefix(s.URL, "http://"), dialect.Headers)
	t.Cleanup(client.Close)
	x.Guard = guard.New(guard.Config{
		Here: mesh.Place{Service: "orders"}, Dialect: dialect, Backend: client,
		Now: func() time.Duration { return time.Duration(x.now.Load()) }, LoadChanged: func(bool) {},
		Suspects: quarantine.New(func() time.Duration { return time.Duration(x.now.Load()) }),
	})
	x.view = &mesh.View{
		Config:      mesh.NewConfig(1, map[string]*mesh.Service{"orders": {Name: "orders", HealthPath: "/health"}}, nil, mesh.Limits{}),
		LocalTarget: &mesh.Target{ID: "i-1", Service: "orders", Slots: slots, Addr: "h"},
	}
	x.SetView(x.view)
	return x
}

func request() *mesh.Request {
	return &mesh.Request{
		ID: "id", Method: "POST", URI: "/a", Host: "h", Header: http.Header{}, Caller: "shop", Service: "orders",
		Target: "i-1", Remaining: time.Minute, QueueTimeout: time.Minute, ObjectiveRemaining: time.Minute,
	}
}

func signed(w http.ResponseWriter, _ *http.Request) { w.Header().Set("X-Signature", "s") }

func TestRequestCarriesTargetCallerAndTimeout(t *testing.T) {
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

func TestBackendRefusalsAndFailuresMapToKindsAndOutcomes(t *testing.T) {
	cases := map[string]struct {
		answer  http.HandlerFunc
		kind    kind.Kind
		outcome kind.Outcome
	}{
		"refused": {func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("X-Not-Run", "1")
			w.WriteHeader(503)
		}, kind.Overloaded, kind.NotRun},
		"address of another target": {func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(421) }, kind.StaleAttempt, kind.NotRun},
		"success without signature": {func(http.ResponseWriter, *http.Request) {}, kind.BackendBroken, kind.Unknown},
		"reset":                     {func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, kind.BackendBroken, kind.Unknown},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := newFixture(t, 4, c.answer).Run(t.Context(), request())
			require.Equal(t, c.kind, err.Kind)
			require.Equal(t, c.outcome, err.ReportedOutcome())
		})
	}
}

// An error response made by the backend server itself is passed on unchanged.
func TestServerErrorOfTheBackendIsPassedOn(t *testing.T) {
	x := newFixture(t, 4, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(500) })
	answer, err := x.Run(t.Context(), request())
	require.Nil(t, err)
	require.Equal(t, 500, answer.Status)
}

func TestRequestsAreRefusedForOtherServicesAndWhileLeaving(t *testing.T) {
	x := newFixture(t, 4, signed)
	other := request()
	other.Service = "stock"
	_, err := x.Run(t.Context(), other)
	require.Equal(t, kind.StaleConfig, err.Kind)
	x.view.LocalTarget.State = mesh.Draining
	x.SetView(x.view)
	_, err = x.Run(t.Context(), request())
	require.Equal(t, kind.Leaving, err.Kind)
	require.True(t, x.Load().Leaving)
	x.view.LocalTarget.State = mesh.Ready
	x.SetView(x.view)
	x.Stop()
	_, err = x.Run(t.Context(), request())
	require.Equal(t, kind.Leaving, err.Kind)
	require.Equal(t, kind.NotRun, err.ReportedOutcome())
	require.Zero(t, x.received.Load())
}

// The VM is suspended while a booking waits for its slot. By the clock that includes the
// suspension its deadline has passed, and the caller may already have repeated the booking.
func TestRequestThatExpiredDuringSuspensionIsNotSent(t *testing.T) {
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
	require.Equal(t, kind.NotRun, err.ReportedOutcome())
	require.EqualValues(t, 1, x.received.Load())
}

// Guards against a crash of the node: the backend server's registration ends while a
// request waits for its slot, and the guard then probes the load of a target that is no
// longer in the view.
func TestWaitingRequestsAreRefusedWhenTheTargetIsRemoved(t *testing.T) {
	var reported atomic.Bool
	release, started := make(chan struct{}), make(chan struct{}, 2)
	x := newFixture(t, 1, func(w http.ResponseWriter, r *http.Request) {
		if reported.CompareAndSwap(false, true) {
			w.Header().Set("X-Load", "1 1")
		}
		started <- struct{}{}
		<-release
		signed(w, r)
	})
	go func() { release <- struct{}{} }()
	_, err := x.Run(t.Context(), request())
	require.Nil(t, err, "the load has been reported")
	<-started
	running, waiting := make(chan *kind.Error, 1), make(chan *kind.Error, 1)
	run := func(result chan<- *kind.Error) {
		_, err := x.Run(context.Background(), request())
		result <- err
	}
	go run(running)
	<-started
	go run(waiting)
	require.Eventually(t, func() bool { return x.Load().Waiting == 1 }, time.Minute, time.Millisecond)
	removed := *x.view
	removed.LocalTarget = nil
	x.SetView(&removed)
	x.now.Store(int64(time.Second))
	close(release)
	require.Nil(t, <-running, "a running request completes")
	require.Equal(t, kind.Leaving, (<-waiting).Kind)
}

// Guards against a request that waits for a slot until it is too late for another target, although it
// will not get one because the node stops or the target leaves.
func TestWaitingRequestsAreRefusedAtOnceWhenTheGuardLeaves(t *testing.T) {
	setView := func(x *fixture, change func(*mesh.View)) {
		v, target := *x.view, *x.view.LocalTarget
		v.LocalTarget = &target
		change(&v)
		x.SetView(&v)
	}
	cases := map[string]func(x *fixture){
		"the node stops":     func(x *fixture) { x.Stop() },
		"the target drains":  func(x *fixture) { setView(x, func(v *mesh.View) { v.LocalTarget.State = mesh.Draining }) },
		"the target is gone": func(x *fixture) { setView(x, func(v *mesh.View) { v.LocalTarget = nil }) },
	}
	for name, leave := range cases {
		t.Run(name, func(t *testing.T) {
			release, started := make(chan struct{}), make(chan struct{}, 2)
			x := newFixture(t, 1, func(w http.ResponseWriter, r *http.Request) {
				started <- struct{}{}
				<-release
				signed(w, r)
			})
			running, waiting := make(chan *kind.Error, 1), make(chan *kind.Error, 1)
			run := func(r *mesh.Request, result chan<- *kind.Error) {
				_, err := x.Run(context.Background(), r)
				result <- err
			}
			go run(request(), running)
			<-started
			r := request()
			r.QueueTimeout = 5 * time.Second
			go run(r, waiting)
			require.Eventually(t, func() bool { return x.Load().Waiting == 1 }, time.Minute, time.Millisecond)
			leave(x)
			err := <-waiting
			close(release)
			require.Nil(t, <-running, "a running request completes")
			require.Equal(t, kind.Leaving, err.Kind)
			require.Equal(t, kind.NotRun, err.ReportedOutcome())
			require.EqualValues(t, 1, x.received.Load())
		})
	}
}

// Guards against a guard that refuses requests after its target's state has returned to ready.
func TestRequestsWaitAgainAfterTheTargetHasReturned(t *testing.T) {
	release, started := make(chan struct{}), make(chan struct{}, 2)
	x := newFixture(t, 1, func(w http.ResponseWriter, r *http.Request) {
		started <- struct{}{}
		<-release
		signed(w, r)
	})
	draining, target := *x.view, *x.view.LocalTarget
	target.State, draining.LocalTarget = mesh.Draining, &target
	x.SetView(&draining)
	x.SetView(x.view)
	results := make(chan *kind.Error, 2)
	run := func() {
		_, err := x.Run(context.Background(), request())
		results <- err
	}
	go run()
	<-started
	go run()
	require.Eventually(t, func() bool { return x.Load().Waiting == 1 }, time.Minute, time.Millisecond)
	close(release)
	require.Nil(t, <-results)
	require.Nil(t, <-results)
}

// The backend server is full. A stock check that a running order depends on must run
// before catalogue reads that arrived earlier.
func TestWaitingRequestsRunInPriorityOrder(t *testing.T) {
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

// A sender that can use another target sets a queue timeout. If the expected wait is
// longer, the request must be refused at once with that wait.
func TestRefusalByQueueTimeoutReportsTheExpectedWait(t *testing.T) {
	const serviceTime = 50 * time.Millisecond
	release := make(chan struct{})
	started := make(chan struct{}, 1)
	x := newFixture(t, 1, func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("X-Id") == "measured" {
			time.Sleep(serviceTime)
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
	impatient := request()
	impatient.QueueTimeout = serviceTime / 10
	_, err = x.Run(t.Context(), impatient)
	close(release)
	<-done
	require.Equal(t, kind.Overloaded, err.Kind)
	require.Equal(t, kind.NotRun, err.ReportedOutcome())
	require.GreaterOrEqual(t, err.Wait, serviceTime)
}

// The caller leaves while its request runs. A booking continues, as cancelling it would
// make its outcome unknown; a read is cancelled, as nobody waits for it.
func TestOnlyIdempotentRequestsAreCancelledWhenTheCallerLeaves(t *testing.T) {
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

func TestLoadIncludesTheSlowdownReportedByTheBackend(t *testing.T) {
	x := newFixture(t, 4, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Load", "1 3.5")
		signed(w, r)
	})
	_, err := x.Run(t.Context(), request())
	require.Nil(t, err)
	require.InDelta(t, 3.5, x.Load().Slowdown, 0.01)
}

func TestSlotShareLimitsTheSlotsUsed(t *testing.T) {
	x := newFixture(t, 6, signed)
	x.SetSlotShare(0.8)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	x.now.Store(int64(time.Minute))
	_, err := x.Run(ctx, request())
	require.Nil(t, err)
	require.LessOrEqual(t, x.Load().Slots, 4)
}

func TestBackendThatIsNotListeningIsUnreachableAndNotRun(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, l.Close())
	x := newFixture(t, 1, signed)
	x.Backend = exchange.NewClient(l.Addr().String(), dialect.Headers)
	_, failure := x.Run(t.Context(), request())
	require.Equal(t, kind.Unreachable, failure.Kind)
	require.Equal(t, kind.NotRun, failure.ReportedOutcome())
}

// A request has waited so long that its deadline passes before the backend server could
// respond. If it were sent, it would use a slot and its outcome would be unknown; unsent,
// it is known not to have run.
func TestRequestWithTooLittleTimeRemainingIsNotSent(t *testing.T) {
	x := newFixture(t, 4, signed)
	r := request()
	r.BaseServiceTime, r.Remaining = time.Second, 300*time.Millisecond
	_, err := x.Run(t.Context(), r)
	require.Equal(t, kind.NotRun, err.ReportedOutcome())
	require.Zero(t, x.received.Load())
}

// Guards against a booking that runs although its entry has given it up or is unreachable.
func TestRequestThatIsNotConfirmedIsNotSent(t *testing.T) {
	x := newFixture(t, 4, signed)
	r := request()
	r.Confirm = func(context.Context) error { return context.Canceled }
	_, err := x.Run(t.Context(), r)
	require.Equal(t, kind.DeadlineNotRun, err.Kind)
	require.Equal(t, kind.NotRun, err.ReportedOutcome())
	require.Zero(t, x.received.Load())
	r = request()
	r.Confirm = func(context.Context) error { return nil }
	_, err = x.Run(t.Context(), r)
	require.Nil(t, err)
	require.EqualValues(t, 1, x.received.Load())
}

// panicking is a Backend that panics, as a defect in handling one request may.
type panicking struct{}

func (panicking) Investigate(context.Context, *exchange.Failure, func(context.Context) bool) death.Finding {
	return death.OthersContinue
}

func (panicking) Do(context.Context, *exchange.Message, func() bool) (*mesh.Answer, *exchange.Failure) {
	panic("defect")
}

// Guards against a defect in handling one request that ends the process with all its requests, or
// that keeps the request's slot.
func TestPanicEndsOnlyItsRequest(t *testing.T) {
	x := newFixture(t, 1, signed)
	sound := x.Backend
	x.Backend = panicking{}
	_, err := x.Run(t.Context(), request())
	require.Equal(t, kind.OutcomeUnknown, err.Kind)
	require.Equal(t, kind.Unknown, err.ReportedOutcome())
	require.Zero(t, x.Active())
	x.Backend = sound
	_, err = x.Run(t.Context(), request())
	require.Nil(t, err)
}

// Guards against a stop that waits beyond its end for a request that must not run twice, and against
// cutting one off because its caller has left.
func TestRunIsCutOffByStopButNotByCallerThatLeaves(t *testing.T) {
	for name, stops := range map[string]bool{"the caller leaves": false, "the node stops after that": true} {
		t.Run(name, func(t *testing.T) {
			running, release := make(chan struct{}), make(chan struct{})
			x := newFixture(t, 1, func(w http.ResponseWriter, r *http.Request) {
				close(running)
				<-release
				signed(w, r)
			})
			base, stop := stopping.NewContext()
			ctx, leave := context.WithCancelCause(base)
			result := make(chan *kind.Error, 1)
			go func() {
				_, err := x.Run(ctx, request())
				result <- err
			}()
			<-running
			leave(mesh.ErrCallerLeft)
			if !stops {
				close(release)
				require.Nil(t, <-result)
				return
			}
			defer close(release)
			stop()
			require.Equal(t, kind.Unknown, (<-result).ReportedOutcome())
		})
	}
}
