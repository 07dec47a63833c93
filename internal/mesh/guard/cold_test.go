package guard_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetdock/limpetdock/internal/mesh"
	"github.com/limpetdock/limpetdock/internal/mesh/coldstart"
	"github.com/limpetdock/limpetdock/internal/mesh/guard"
	"github.com/limpetdock/limpetdock/internal/mesh/model"
)

// coldPerSecond is how many requests per second a cold server tolerates in these tests, and
// maxColdArrivals the most that may arrive in any second by the policy.
const (
	coldPerSecond   = 11
	maxColdArrivals = 24
)

var coldPolicy = coldstart.Policy{Ratio: 1.5, Slack: 8}

// newColdGuard returns a guard for a server of a service with a limit for cold servers.
func newColdGuard(t *testing.T, s *model.Server) *guard.Guard {
	return newGuardOf(t, s, mesh.Service{ColdPerSecond: coldPerSecond})
}

// newColdServer returns a server that is cold for a while.
func newColdServer(warmUp time.Duration) *model.Server {
	return newModelServer(model.Backend{Slots: 12, Queue: 24, WarmUp: warmUp, WarmUpFactor: 2}, 1)
}

// Guards against requests that crash a server which has just started under the full load.
func TestColdServerGetsNoMoreThanItsLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newColdServer(3 * time.Second)
		g := newColdGuard(t, s)
		sendLoad(t, g, 10*time.Millisecond, 0, 4*time.Second)
		require.LessOrEqual(t, s.MostColdArrivals(), maxColdArrivals)
		require.Greater(t, s.MostColdArrivals(), coldPerSecond, "the server gets what it can bear")
	})
}

// A warm server becomes cold while requests run, and doesn't say so before it is asked. Guards
// against the requests of that moment and those after it exceeding the limit together.
func TestServerThatBecomesColdUnderLoadGetsNoMoreThanItsLimit(t *testing.T) {
	for _, interval := range []time.Duration{8 * time.Millisecond, 15 * time.Millisecond, 40 * time.Millisecond, 300 * time.Millisecond} {
		synctest.Test(t, func(t *testing.T) {
			s := newColdServer(0)
			g := newColdGuard(t, s)
			go func() {
				for range 3 {
					time.Sleep(2*time.Second + 7*time.Millisecond)
					s.GoCold(time.Second)
				}
			}()
			sendLoad(t, g, interval, 0, 9*time.Second)
			require.LessOrEqual(t, s.MostColdArrivals(), maxColdArrivals, interval)
		})
	}
}

// Guards against a limit for cold servers that costs warm ones requests or time.
func TestWarmServerIsNotLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newColdGuard(t, newColdServer(0))
		result := sendLoad(t, g, 15*time.Millisecond, time.Second, 8*time.Second)
		require.Equal(t, result.sent, result.inTime, "%+v", result)
	})
}

// Guards against entries that send a cold server as much as a warm one, to be refused.
func TestColdServerReportsTheSlotsThatItsLimitKeepsInUse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newColdServer(0)
		g := newColdGuard(t, s)
		sendLoad(t, g, 15*time.Millisecond, 0, 2*time.Second)
		require.Greater(t, g.Load().Slots, s.Slots/2)
		s.GoCold(10 * time.Second)
		sendLoad(t, g, 15*time.Millisecond, 0, time.Second)
		slowest := 2 * routes[0].baseService
		usable := coldPolicy.Rate(coldPerSecond).PerSecond * slowest.Seconds()
		require.LessOrEqual(t, g.Load().Slots, int(usable)+1)
		time.Sleep(10 * time.Second)
		require.Greater(t, g.Load().Slots, s.Slots/2)
	})
}
