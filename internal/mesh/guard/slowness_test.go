package guard_test

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetdock/limpetdock/internal/kind"
	"github.com/limpetdock/limpetdock/internal/mesh"
	"github.com/limpetdock/limpetdock/internal/mesh/exchange"
	"github.com/limpetdock/limpetdock/internal/mesh/guard"
	"github.com/limpetdock/limpetdock/internal/mesh/model"
)

// runSlow sends requests one by one with the base service time that others know, and returns the last
// answer.
func runSlow(t *testing.T, g *guard.Guard, requests int) (a *mesh.Answer) {
	for range requests {
		r := request()
		r.Method, r.URI, r.Idempotent, r.BaseServiceTime = http.MethodGet, routes[1].prefix, true, routes[1].baseService
		// It isn't waited for the end of the slowness.
		r.QueueTimeout = time.Millisecond
		answer, err := g.Run(t.Context(), r)
		require.Nil(t, err)
		a = answer
	}
	return a
}

func overloadView(id string, on bool) *mesh.View {
	return &mesh.View{
		Config: mesh.NewConfig(1, map[string]*mesh.Service{"orders": {Name: "orders", HealthPath: model.HealthPath}},
			[]*mesh.Route{{Name: "check", Host: "h", Prefix: "/check/"}}, mesh.Limits{}),
		OverloadScheduling: on, LocalTarget: &mesh.Target{ID: id, Service: "orders", Slots: 6, Addr: "h"},
	}
}

// Guards against a slowness that entries don't see, that requests wait for, that outlasts the process
// or the feature, and that raises learned and reported base service times.
func TestMeasuredSlownessInReportsAndBaseServiceTimes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newModelServer(model.Backend{
			Slots: 6, Queue: 6, WarmUp: time.Hour, WarmUpFactor: 2, CrashTime: time.Millisecond,
			Crashes: func(m *exchange.Message) bool { return m.URI == "/crash" },
		}, 1)
		g := newGuardOf(t, s, mesh.Service{})
		requireSlowness := func(factor float64) {
			t.Helper()
			l := g.Load()
			require.InDelta(t, factor, g.MeasuredSlowness(), 0.01)
			require.InDelta(t, 2*factor, l.Slowdown, 0.02, "the cold start counts besides")
			require.InDelta(t, 2*factor, l.SustainedSlowdown, 0.02)
			require.Zero(t, l.RecoversIn)
		}
		time.Sleep(2 * time.Second)
		base := routes[1].baseService.Seconds()
		g.SetView(overloadView("i-1", true))
		runSlow(t, g, 6)
		time.Sleep(5 * time.Second)
		s.SlowUnreported(4)
		require.InDelta(t, 1.5*base, runSlow(t, g, 8).BaseServiceTime.Seconds(), 0.001, "it raises the sender's average by half at most")
		requireSlowness(4)
		s.SlowUnreported(1)
		learned := runSlow(t, g, 16).BaseServiceTime.Seconds()
		requireSlowness(1)
		require.InDelta(t, base, learned, 0.25*base, "only the requests before the detection count as long")
		for _, forget := range []func(){
			func() { g.SetView(overloadView("i-2", true)) },
			func() {
				crash := request()
				crash.URI = "/crash"
				_, err := g.Run(t.Context(), crash)
				require.Equal(t, kind.BackendBroken, err.Kind)
				synctest.Wait()
			},
			func() { g.SetView(overloadView("i-2", false)) },
		} {
			s.SlowUnreported(4)
			runSlow(t, g, 16)
			requireSlowness(4)
			forget()
			requireSlowness(1)
			time.Sleep(time.Second)
		}
		require.Greater(t, runSlow(t, g, 16).BaseServiceTime.Seconds(), 1.6*base, "where the feature is off, it reports what it learned")
		requireSlowness(1)
	})
}
