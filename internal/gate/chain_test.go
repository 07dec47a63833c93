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
	"github.com/limpetdock/limpetdock/internal/virtualtime"
)

// No request completes on a server whose slots are all held by calls that wait for nested
// calls. A nested call must not wait there until its deadline, as the calls above it hold
// slots elsewhere until then; a call at the top of its chain holds no other slot.
func TestNestedCallTimesOutInAQueueThatDoesNotMove(t *testing.T) {
	const serviceTime = 200 * time.Millisecond
	for name, c := range map[string]struct {
		limits      Limits
		serviceTime time.Duration
		rank        Rank
		waiting     int
		want        outcome
	}{
		"top of a chain":                {Limits{Slots: 2, Queue: 4}, serviceTime, Rank{}, 0, outcome{after: time.Minute}},
		"nested call":                   {Limits{Slots: 2, Queue: 4}, serviceTime, Rank{Depth: 1}, 0, outcome{"", kind.Overloaded, 300 * time.Millisecond}},
		"nested call of a higher class": {Limits{Slots: 2, Queue: 4}, serviceTime, Rank{Class: 9, Depth: 1}, 0, outcome{"", kind.Overloaded, 300 * time.Millisecond}},
		"two of its depth are ahead":    {Limits{Slots: 2, Queue: 4}, serviceTime, Rank{Depth: 1}, 2, outcome{"", kind.Overloaded, 500 * time.Millisecond}},
		"less deep ones aren't ahead":   {Limits{Slots: 2, Queue: 4}, serviceTime, Rank{Depth: 2}, 2, outcome{"", kind.Overloaded, 300 * time.Millisecond}},
		"the service is usually fast":   {Limits{Slots: 2, Queue: 4}, time.Millisecond, Rank{Depth: 1}, 0, outcome{"", kind.Overloaded, standingAfter}},
		"refusal is off":                {Limits{Slots: 2, NoRefusal: true}, serviceTime, Rank{Depth: 1}, 0, outcome{after: time.Minute}},
	} {
		virtualtime.Test(t, func(t *testing.T) {
			g := newWarmGate(c.limits)
			g.drain.serviceTime = c.serviceTime
			var log outcomeLog
			for range c.limits.Slots {
				log.send(g, t.Context(), "held", 0, time.Minute)
			}
			for range c.waiting {
				log.sendRanked(g, t.Context(), "ahead", Rank{Depth: 1}, 0)
			}
			log.sendRanked(g, t.Context(), name, c.rank, 0)
			time.Sleep(2 * time.Minute)
			synctest.Wait()
			c.want.name = name
			require.Equal(t, c.want, log.of(name))
			require.Zero(t, g.Load().Waiting)
		})
	}
}

// A burst of nested calls takes longer than the queue timeout of a call with none ahead.
// The queue moves, so all of them must run, even on a gate without measurements.
func TestNestedCallsWaitInAQueueThatMoves(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		g := newWarmGate(Limits{Slots: 1, Queue: 9})
		var log outcomeLog
		for range 2 {
			for range 10 {
				log.sendRanked(g, t.Context(), "", Rank{Depth: 1}, 200*time.Millisecond)
			}
			time.Sleep(time.Minute)
		}
		synctest.Wait()
		require.Equal(t, make([]string, 20), log.names(), "none is refused")
	})
}

// A nested call arrives after calls at the top of their chains. As the calls above it hold
// slots, it runs first, regardless of the order.
func TestDeeperCallsRunFirst(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		g := newWarmGate(Limits{Slots: 1, Queue: 4})
		var log outcomeLog
		for _, c := range []struct {
			name  string
			depth int
		}{{"running", 0}, {"top call", 0}, {"second call", 1}, {"fourth call", 3}, {"another second call", 1}} {
			log.sendRanked(g, t.Context(), c.name, Rank{Depth: c.depth}, 10*time.Millisecond)
		}
		time.Sleep(time.Second)
		synctest.Wait()
		require.Equal(t, []string{"running", "fourth call", "second call", "another second call", "top call"}, log.names())
	})
}

// chainedService is a service with several targets whose requests call the service itself.
// It runs in a synctest bubble.
type chainedService struct {
	gates     []*Gate
	seed      uint64
	calls     atomic.Uint64
	succeeded atomic.Int64
}

// call makes a call with the given number of nested calls below it, and reports whether all
// succeeded.
func (c *chainedService) call(ctx context.Context, rnd *rand.Rand, depth, below int) bool {
	const attempts, mean = 3, 40 * time.Millisecond
	for _, i := range rnd.Perm(len(c.gates))[:attempts] {
		slot, refusal := c.gates[i].Acquire(ctx, Rank{Depth: depth})
		if refusal != nil {
			continue
		}
		defer slot.Release()
		select {
		case <-time.After(time.Duration((0.5 + 0.5*rnd.ExpFloat64()) * float64(mean))):
		case <-ctx.Done():
			return false
		}
		return below == 0 || c.call(ctx, rnd, depth+1, below-1)
	}
	return false
}

// generate makes calls at random times for six seconds.
func (c *chainedService) generate(wg *sync.WaitGroup, perSecond float64, below int, timeout time.Duration) {
	rnd := rand.New(rand.NewPCG(c.seed, uint64(below)))
	end := time.Now().Add(6 * time.Second)
	for time.Now().Before(end) {
		time.Sleep(time.Duration(rnd.ExpFloat64() / perSecond * float64(time.Second)))
		callRnd := rand.New(rand.NewPCG(c.seed, rnd.Uint64()))
		wg.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), timeout)
			defer cancel()
			c.calls.Add(1)
			if c.call(ctx, callRnd, 0, below) && ctx.Err() == nil {
				c.succeeded.Add(1)
			}
		})
	}
}

// Requests of a service call the service itself, in chains with ten nested calls, and half
// of the slots would be enough for all calls. Guards against chains that meet at full
// targets, where calls at the top hold the slots that nested ones wait for: nearly all
// calls would then fail until the load ends. Targets are chosen at random, so the guards
// alone must keep the chains moving.
func TestServiceThatCallsItselfDoesNotDeadlock(t *testing.T) {
	const runs, targets = 8, 6
	var calls, succeeded int64
	for seed := range uint64(runs) {
		virtualtime.Test(t, func(t *testing.T) {
			c := &chainedService{seed: seed}
			for range targets {
				c.gates = append(c.gates, newWarmGate(Limits{Slots: 6, Queue: 16}))
			}
			var wg sync.WaitGroup
			wg.Go(func() { c.generate(&wg, 270, 0, time.Second) })
			wg.Go(func() { c.generate(&wg, 8.0/3, 10, 5*time.Second) })
			wg.Wait()
			calls, succeeded = calls+int64(c.calls.Load()), succeeded+c.succeeded.Load()
		})
	}
	t.Logf("%d of %d calls succeeded in time", succeeded, calls)
	require.Greater(t, float64(succeeded), 0.98*float64(calls))
}
