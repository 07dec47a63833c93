package guard_test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetdock/limpetdock/internal/mesh"
	"github.com/limpetdock/limpetdock/internal/mesh/guard"
	"github.com/limpetdock/limpetdock/internal/mesh/model"
	"github.com/limpetdock/limpetdock/internal/mesh/quarantine"
)

// route is a kind of request in the load tests: its mean base service time, its latency
// objective and its timeout.
type route struct {
	prefix                          string
	baseService, objective, timeout time.Duration
}

var routes = []route{
	{prefix: "/read/", baseService: 220 * time.Millisecond, objective: 600 * time.Millisecond, timeout: 2500 * time.Millisecond},
	{prefix: "/check/", baseService: 55 * time.Millisecond, objective: 150 * time.Millisecond, timeout: 600 * time.Millisecond},
}

// newModelServer returns a simulated backend server for requests of routes.
func newModelServer(b model.Backend, seed uint64) *model.Server {
	var serviceTimes []model.ServiceTime
	for _, r := range routes {
		serviceTimes = append(serviceTimes, model.ServiceTime{Prefix: r.prefix, Mean: r.baseService})
	}
	return model.NewServer(b, serviceTimes, seed)
}

// newModelGuard returns a guard for a simulated backend server of a service without a limit for
// cold servers.
func newModelGuard(t *testing.T, b model.Backend, seed uint64) *guard.Guard {
	return newGuardOf(t, newModelServer(b, seed), mesh.Service{})
}

// newGuardOf returns a guard for a simulated backend server of a service.
func newGuardOf(t *testing.T, s *model.Server, service mesh.Service) *guard.Guard {
	service.Name = "orders"
	start := time.Now()
	g := guard.New(guard.Config{
		Here: mesh.Place{Service: service.Name}, Dialect: model.Dialect, Backend: s, ColdStart: coldPolicy,
		Now: func() time.Duration { return time.Since(start) }, LoadChanged: func(bool) {},
		Suspects: quarantine.New(func() time.Duration { return time.Since(start) }),
	})
	g.SetView(viewOf(s, service))
	go g.Probe(t.Context())
	return g
}

// viewOf returns the view of a guard for a simulated backend server of a service.
func viewOf(s *model.Server, service mesh.Service) *mesh.View {
	service.Name, service.HealthPath = "orders", model.HealthPath
	var table []*mesh.Route
	for _, r := range routes {
		table = append(table, &mesh.Route{Name: r.prefix, Host: "h", Prefix: r.prefix})
	}
	return &mesh.View{
		Config:      mesh.NewConfig(1, map[string]*mesh.Service{service.Name: &service}, table, mesh.Limits{}),
		LocalTarget: &mesh.Target{ID: "i-1", Service: service.Name, Slots: s.Slots, Addr: "h"},
	}
}

// outcomes is the number of requests by outcome.
type outcomes struct{ sent, inTime, late, refused int }

// sendLoad sends requests of all routes in turn, one per interval, and returns the
// outcomes of those sent after warmUp.
func sendLoad(t *testing.T, g *guard.Guard, interval, warmUp, duration time.Duration) outcomes {
	var (
		mu     sync.Mutex
		group  sync.WaitGroup
		result outcomes
	)
	start := time.Now()
	for i := 0; time.Since(start) < duration; i++ {
		r, counted := routes[i%len(routes)], time.Since(start) >= warmUp
		group.Go(func() {
			sent := time.Now()
			_, err := g.Run(t.Context(), &mesh.Request{
				ID: fmt.Sprint(i), Method: http.MethodGet, URI: r.prefix, Host: "h", Header: http.Header{}, Service: "orders",
				Target: "i-1", Idempotent: true, Remaining: r.timeout, QueueTimeout: r.timeout, ObjectiveRemaining: r.objective,
			})
			mu.Lock()
			defer mu.Unlock()
			if !counted {
				return
			}
			result.sent++
			switch {
			case err != nil:
				result.refused++
			case time.Since(sent) <= r.objective:
				result.inTime++
			default:
				result.late++
			}
		})
		time.Sleep(interval)
	}
	group.Wait()
	return result
}

// A backend server takes three times as long for requests that it starts beyond half of its
// slots, the knee. At a load that it could just sustain, it would complete next to none
// in time if all slots were in use, and as each request then takes three times as long, the
// overload would sustain itself. The limit that the guard learns from measured service
// times must serve nearly as many requests in time as one that is set to the knee.
func TestLearnedLimitServesNearlyAsManyInTimeAsTheBestFixedLimit(t *testing.T) {
	for name, c := range map[string]struct {
		backend model.Backend
		// load is the request rate as a share of the server's highest throughput.
		load float64
	}{
		"early and hard": {model.Backend{Slots: 9, Queue: 18, Knee: 0.5, KneeFactor: 3, Spread: 0.3}, 0.7},
		"late and mild":  {model.Backend{Slots: 9, Queue: 18, Knee: 0.8, KneeFactor: 1.7, Spread: 0.3}, 0.7},
		"none":           {model.Backend{Slots: 9, Queue: 18, Spread: 0.3}, 0.7},
		"few slots":      {model.Backend{Slots: 4, Queue: 8, Knee: 0.5, KneeFactor: 3, Spread: 0.3}, 0.7},
		"with neighbours": {model.Backend{
			Slots: 9, Queue: 18, Knee: 0.5, KneeFactor: 3, Spread: 0.3,
			Neighbours: model.Neighbours{Share: 0.25, Factor: 4, Period: 300 * time.Millisecond},
		}, 0.4},
	} {
		t.Run(name, func(t *testing.T) {
			b, best := c.backend, c.backend.Slots
			if b.Knee > 0 {
				best = int(b.Knee * float64(b.Slots))
			}
			learned := runLoad(t, b, 0, best, c.load)
			fixed := runLoad(t, b, float64(best)/float64(b.Slots), best, c.load)
			t.Logf("learned %+v, fixed %+v", learned, fixed)
			const minRatio = 0.9
			require.Greater(t, float64(learned.inTime), minRatio*float64(fixed.inTime))
		})
	}
}

// runLoad sends, once per seed, the given share of the load that a backend server can
// sustain with best requests at once, and returns the sum of the outcomes. slotShare is
// the guard's setting.
func runLoad(t *testing.T, b model.Backend, slotShare float64, best int, load float64) (sum outcomes) {
	const (
		seeds    = 6
		warmUp   = 5 * time.Second
		duration = 25 * time.Second
	)
	meanService := (routes[0].baseService + routes[1].baseService) / 2
	interval := time.Duration(float64(meanService) / float64(best) / load)
	for seed := range uint64(seeds) {
		synctest.Test(t, func(t *testing.T) {
			g := newModelGuard(t, b, seed)
			g.SetSlotShare(slotShare)
			result := sendLoad(t, g, interval, warmUp, duration)
			sum.sent += result.sent
			sum.inTime += result.inTime
			sum.late += result.late
			sum.refused += result.refused
		})
	}
	return sum
}

// Several requests arrive at once for one slot, on a server slowed by its cold start, so
// that all but the first wait. If base service times included the wait and the slowdown, all
// requests of the class would count as late from their start, and the queues of the guards
// couldn't prefer those that can still meet their latency objective.
func TestBaseServiceTimeExcludesWaitAndSlowdown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newModelGuard(t, model.Backend{Slots: 1, Queue: 4, WarmUp: time.Minute, WarmUpFactor: 2}, 1)
		time.Sleep(time.Second)
		var group sync.WaitGroup
		for i := range 6 {
			group.Go(func() {
				answer, err := g.Run(t.Context(), &mesh.Request{
					ID: fmt.Sprint(i), Method: http.MethodGet, URI: routes[0].prefix, Host: "h", Header: http.Header{}, Service: "orders",
					Target: "i-1", Idempotent: true, Remaining: time.Minute, QueueTimeout: time.Minute, ObjectiveRemaining: time.Minute,
				})
				require.Nil(t, err)
				require.InDelta(t, routes[0].baseService.Seconds(), answer.BaseServiceTime.Seconds(), 0.01)
			})
		}
		group.Wait()
	})
}
