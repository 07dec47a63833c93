package gate

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetdock/limpetdock/internal/kind"
)

// Nothing leaves a server whose slots are all held by calls that wait for calls
// below them. A deeper call must not wait there until its deadline, for those above it
// hold slots elsewhere until then; a first call holds none.
func TestADeeperCallDoesNotWaitInAJam(t *testing.T) {
	const service = 200 * time.Millisecond
	for name, c := range map[string]struct {
		limits  Limits
		service time.Duration
		rank    Rank
		waiting int
		want    ran
	}{
		"a first call":                     {Limits{Slots: 2, Queue: 4}, service, Rank{}, 0, ran{after: time.Minute}},
		"a deeper call":                    {Limits{Slots: 2, Queue: 4}, service, Rank{Depth: 1}, 0, ran{"", kind.Overloaded, 300 * time.Millisecond}},
		"a deeper call of a higher class":  {Limits{Slots: 2, Queue: 4}, service, Rank{9, 1}, 0, ran{"", kind.Overloaded, 300 * time.Millisecond}},
		"two of its depth are ahead":       {Limits{Slots: 2, Queue: 4}, service, Rank{Depth: 1}, 2, ran{"", kind.Overloaded, 500 * time.Millisecond}},
		"less deep ones aren't ahead":      {Limits{Slots: 2, Queue: 4}, service, Rank{Depth: 2}, 2, ran{"", kind.Overloaded, 300 * time.Millisecond}},
		"the service is fast as a rule":    {Limits{Slots: 2, Queue: 4}, time.Millisecond, Rank{Depth: 1}, 0, ran{"", kind.Overloaded, standFor}},
		"nothing is refused by definition": {Limits{Slots: 2, NoRefusal: true}, service, Rank{Depth: 1}, 0, ran{after: time.Minute}},
	} {
		synctest.Test(t, func(t *testing.T) {
			g := started(c.limits)
			g.drain.service = c.service
			var log journal
			for range c.limits.Slots {
				log.offer(g, t.Context(), "held", 0, time.Minute)
			}
			for range c.waiting {
				log.enter(g, t.Context(), "ahead", Rank{Depth: 1}, 0)
			}
			log.enter(g, t.Context(), name, c.rank, 0)
			time.Sleep(2 * time.Minute)
			synctest.Wait()
			c.want.name = name
			require.Equal(t, c.want, log.of(name))
			require.Zero(t, g.Load().Waiting)
		})
	}
}

// A burst of calls one level down, longer than patience with nobody ahead. The
// queue moves, so all of them run, on a gate that has measured nothing yet, too.
func TestADeeperCallWaitsInAQueueThatMoves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := started(Limits{Slots: 1, Queue: 9})
		var log journal
		for range 2 {
			for range 10 {
				log.enter(g, t.Context(), "", Rank{Depth: 1}, 200*time.Millisecond)
			}
			time.Sleep(time.Minute)
		}
		synctest.Wait()
		require.Equal(t, make([]string, 20), log.names(), "none is refused")
	})
}

// A deep call waits behind first calls that have no one waiting for them, while
// those above it hold slots. It runs first, whatever the order.
func TestDeeperCallsRunFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := started(Limits{Slots: 1, Queue: 4})
		var log journal
		for _, c := range []struct {
			name  string
			depth int
		}{{"running", 0}, {"first call", 0}, {"second call", 1}, {"fourth call", 3}, {"another second call", 1}} {
			log.enter(g, t.Context(), c.name, Rank{Depth: c.depth}, 10*time.Millisecond)
		}
		time.Sleep(time.Second)
		synctest.Wait()
		require.Equal(t, []string{"running", "fourth call", "second call", "another second call", "first call"}, log.names())
	})
}

// chained is a service that calls itself, at some targets, in a synctest bubble.
type chained struct {
	gates []*Gate
	seed  uint64
	calls atomic.Uint64
	good  atomic.Int64
}

// call makes one call after another below it, and says whether all were whole.
func (c *chained) call(ctx context.Context, rnd *rand.Rand, depth, below int) bool {
	const hops, mean = 3, 40 * time.Millisecond
	for _, i := range rnd.Perm(len(c.gates))[:hops] {
		slot, refusal := c.gates[i].Enter(ctx, Rank{Depth: depth})
		if refusal != nil {
			continue
		}
		defer slot.Leave()
		select {
		case <-time.After(time.Duration((0.5 + 0.5*rnd.ExpFloat64()) * float64(mean))):
		case <-ctx.Done():
			return false
		}
		return below == 0 || c.call(ctx, rnd, depth+1, below-1)
	}
	return false
}

// offer makes calls at random moments for six seconds.
func (c *chained) offer(wg *sync.WaitGroup, perSecond float64, below int, timeout time.Duration) {
	rnd := rand.New(rand.NewPCG(c.seed, uint64(below)))
	end := time.Now().Add(6 * time.Second)
	for time.Now().Before(end) {
		time.Sleep(time.Duration(rnd.ExpFloat64() / perSecond * float64(time.Second)))
		own := rand.New(rand.NewPCG(c.seed, rnd.Uint64()))
		wg.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), timeout)
			defer cancel()
			c.calls.Add(1)
			if c.call(ctx, own, 0, below) && ctx.Err() == nil {
				c.good.Add(1)
			}
		})
	}
}

// A service's requests call the service itself, ten times one below the other,
// and half of its slots would do for all. Once some chains meet at full targets,
// those at the top hold the slots that the ones below wait for, and callers see
// nearly all calls fail until the load ends. Targets are chosen at random, so
// the guards alone must keep the chains moving.
func TestChainsOnOneServiceDoNotBringItDown(t *testing.T) {
	const runs, targets = 8, 6
	var calls, good int64
	for seed := range uint64(runs) {
		synctest.Test(t, func(t *testing.T) {
			c := &chained{seed: seed}
			for range targets {
				c.gates = append(c.gates, started(Limits{Slots: 6, Queue: 16}))
			}
			var wg sync.WaitGroup
			wg.Go(func() { c.offer(&wg, 270, 0, time.Second) })
			wg.Go(func() { c.offer(&wg, 8.0/3, 10, 5*time.Second) })
			wg.Wait()
			calls, good = calls+int64(c.calls.Load()), good+c.good.Load()
		})
	}
	t.Logf("%d of %d calls whole in time", good, calls)
	require.Greater(t, float64(good), 0.98*float64(calls))
}
