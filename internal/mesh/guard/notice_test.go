package guard_test

import (
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetdock/limpetdock/internal/kind"
	"github.com/limpetdock/limpetdock/internal/mesh"
	"github.com/limpetdock/limpetdock/internal/mesh/model"
	"github.com/limpetdock/limpetdock/internal/mesh/ratelimit"
)

// limitWindow is the period in which requests to a limited server are counted.
const limitWindow = 4 * time.Second

// mostArrivals returns the most requests that arrived within limitWindow from a time on.
func mostArrivals(s *model.Server, from time.Time) (most int) {
	arrivals := s.Arrivals()
	for i, first := range arrivals {
		count := 0
		for _, at := range arrivals[i:] {
			if !first.Before(from) && at.Sub(first) < limitWindow {
				count++
			}
		}
		most = max(most, count)
	}
	return most
}

func newLimitedServer() *model.Server {
	return newModelServer(model.Backend{Slots: 12, Queue: 24}, 1)
}

// Guards against a server in need that gets more requests than it names, or hardly any.
func TestServerGetsWhatItNames(t *testing.T) {
	for text, limit := range map[string]float64{"3.7": 3.7, "5.1": 5.1, "40": 40, "0.3": 0.3} {
		for _, cold := range []bool{false, true} {
			synctest.Test(t, func(t *testing.T) {
				s := newLimitedServer()
				service := mesh.Service{}
				if cold {
					service.ColdPerSecond = coldPerSecond
				}
				g := newGuardOf(t, s, service)
				s.NameLimit(text)
				time.Sleep(3 * time.Second)
				from := time.Now()
				sendLoad(t, g, 10*time.Millisecond, 0, 12*time.Second)
				got := mostArrivals(s, from)
				require.LessOrEqual(t, float64(got), 1.5*limit*limitWindow.Seconds()+5, text)
				require.GreaterOrEqual(t, float64(got), 0.5*limit*limitWindow.Seconds(), text)
			})
		}
	}
}

// Guards against a server whose limit changes all the time and that gets more than the highest one.
func TestChangingLimitIsKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newLimitedServer()
		g := newGuardOf(t, s, mesh.Service{})
		limits := []string{"3", "7", "2.5", "no number", "5", "0", "4, 6"}
		s.NameLimit(limits[0])
		var changes sync.WaitGroup
		defer changes.Wait()
		changes.Go(func() {
			for i := range 30 {
				s.NameLimit(limits[i%len(limits)])
				time.Sleep(500 * time.Millisecond)
			}
		})
		time.Sleep(3 * time.Second)
		from := time.Now()
		sendLoad(t, g, 10*time.Millisecond, 0, 10*time.Second)
		require.LessOrEqual(t, float64(mostArrivals(s, from)), 1.5*7*limitWindow.Seconds()+5)
	})
}

// Guards against a server that stays without requests though it has lifted its limit: no answer to
// a request shows that, as none is sent.
func TestLimitOfZeroIsLifted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newLimitedServer()
		g := newGuardOf(t, s, mesh.Service{})
		s.NameLimit("0")
		time.Sleep(3 * time.Second)
		from := time.Now()
		result := sendLoad(t, g, 50*time.Millisecond, 0, 5*time.Second)
		require.Zero(t, mostArrivals(s, from))
		require.Equal(t, result.sent, result.refused)
		require.Equal(t, ratelimit.MaxInterval, g.Load().RequestInterval)
		s.NameLimit("")
		time.Sleep(ratelimit.MaxInterval + time.Second)
		result = sendLoad(t, g, 50*time.Millisecond, 0, time.Second)
		require.Zero(t, result.refused)
		require.Zero(t, g.Load().RequestInterval)
	})
}

// Guards against the limit of one backend server that binds another one at the same address.
func TestLimitOfAnotherServerIsIgnored(t *testing.T) {
	x := newFixture(t, 4, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Limit", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
	})
	_, e := x.Run(t.Context(), request())
	require.NotNil(t, e)
	require.Zero(t, x.Load().RequestInterval)
}

// Guards against the limit of a process that binds the one that follows it.
func TestNewIncarnationHasNoLimit(t *testing.T) {
	x := newFixture(t, 4, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Limit", "2")
		signed(w, r)
	})
	_, e := x.Run(t.Context(), request())
	require.Nil(t, e)
	require.Equal(t, 500*time.Millisecond, x.Load().RequestInterval)
	next, target := *x.view, *x.view.LocalTarget
	next.LocalTarget = nil
	x.SetView(&next)
	x.SetView(x.view)
	require.Equal(t, 500*time.Millisecond, x.Load().RequestInterval, "the same process is registered again")
	target.ID = "i-2"
	after := next
	after.LocalTarget = &target
	x.SetView(&next)
	x.SetView(&after)
	require.Zero(t, x.Load().RequestInterval)
}

// Guards against a backend server that says that it leaves and gets the requests that wait for it,
// and against one that gets none after it has taken that back.
func TestLeavingServerGetsNothingUntilItTakesThatBack(t *testing.T) {
	var leaving atomic.Bool
	begun, end := make(chan struct{}), make(chan struct{})
	x := newFixture(t, 1, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/long" {
			begun <- struct{}{}
			<-end
		}
		if leaving.Load() {
			w.Header().Set("X-Leaving", "1")
		}
		signed(w, r)
	})
	x.handlesHealth.Store(true)
	long := request()
	long.URI = "/long"
	first, waiting := make(chan *kind.Error), make(chan *kind.Error)
	run := func(r *mesh.Request, outcome chan<- *kind.Error) {
		_, e := x.Run(t.Context(), r)
		outcome <- e
	}
	go run(long, first)
	<-begun
	leaving.Store(true)
	go run(request(), waiting)
	require.Eventually(t, func() bool { return x.Load().Waiting == 1 }, time.Minute, time.Millisecond)
	received := x.received.Load()
	close(end)
	require.Nil(t, <-first, "the request that it had is answered")
	require.Equal(t, kind.Leaving, (<-waiting).Kind)
	require.True(t, x.Load().Leaving)
	_, e := x.Run(t.Context(), request())
	require.Equal(t, kind.Leaving, e.Kind)
	require.Equal(t, kind.NotRun, e.ReportedOutcome())
	require.Equal(t, received, x.received.Load())
	leaving.Store(false)
	x.now.Add(int64(time.Minute))
	x.ProbeIfDue(t.Context())
	_, e = x.Run(t.Context(), request())
	require.Nil(t, e)
}

// Guards against a node that restarts beside a backend server that leaves, or that names a limit, and
// sends it requests as it has not heard of that yet.
func TestRestartedGuardAsksBeforeItSends(t *testing.T) {
	for header, value := range map[string]string{"X-Leaving": "1", "X-Limit": "0"} {
		var requests atomic.Int32
		x := newFixture(t, 4, func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set(header, value)
			if r.URL.Path != "/health" {
				requests.Add(1)
			}
			signed(w, r)
		})
		x.handlesHealth.Store(true)
		r := request()
		r.QueueTimeout = 50 * time.Millisecond
		_, e := x.Run(t.Context(), r)
		require.NotNil(t, e, header)
		require.Equal(t, kind.NotRun, e.ReportedOutcome())
		require.Zero(t, requests.Load(), header)
	}
}

// Guards against a backend server that answers no health checks and never gets a request.
func TestServerThatAnswersNoHealthCheckGetsRequests(t *testing.T) {
	x := newFixture(t, 4, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/health" {
			panic(http.ErrAbortHandler)
		}
		signed(w, r)
	})
	x.handlesHealth.Store(true)
	_, e := x.Run(t.Context(), request())
	require.Nil(t, e)
}

// Guards against a restarted node that stops waiting for its backend server's first answer because
// many requests wait for it at once.
func TestManyRequestsAwaitTheFirstAnswer(t *testing.T) {
	var requests atomic.Int32
	x := newFixture(t, 4, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Leaving", "1")
		if r.URL.Path == "/health" {
			time.Sleep(15 * time.Millisecond)
			return
		}
		requests.Add(1)
		signed(w, r)
	})
	x.handlesHealth.Store(true)
	var all sync.WaitGroup
	for range 40 {
		all.Go(func() { _, _ = x.Run(t.Context(), request()) })
	}
	all.Wait()
	require.Zero(t, requests.Load())
}
