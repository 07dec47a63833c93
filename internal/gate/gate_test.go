package gate

import (
	"context"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetdock/limpetdock/fleet"
	"github.com/limpetdock/limpetdock/internal/kind"
)

// started is a gate past its slow start.
func started(l Limits) *Gate {
	g := New()
	g.SetLimits(l)
	g.BackendCount(0)
	return g
}

// within gives a context with a deadline, or none for zero.
func within(t *testing.T, d time.Duration) context.Context {
	if d == 0 {
		return t.Context()
	}
	ctx, cancel := context.WithTimeout(t.Context(), d)
	t.Cleanup(cancel)
	return ctx
}

// ran is what became of one request that was sent to a gate.
type ran struct {
	name    string
	refused kind.Kind
	after   time.Duration
}

// journal is what became of requests, in the order of its being known.
type journal struct {
	mu   sync.Mutex
	rows []ran
}

func (j *journal) add(r ran) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.rows = append(j.rows, r)
}

func (j *journal) names() (list []string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, r := range j.rows {
		list = append(list, r.name+string(r.refused))
	}
	return list
}

func (j *journal) of(name string) ran {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.rows[slices.IndexFunc(j.rows, func(r ran) bool { return r.name == name })]
}

// offer sends a request that runs for a while, on a goroutine of its own, and
// notes what became of it.
func (j *journal) offer(g *Gate, ctx context.Context, name string, class int, runs time.Duration) {
	j.enter(g, ctx, name, Rank{Class: class}, runs)
}

func (j *journal) enter(g *Gate, ctx context.Context, name string, rank Rank, runs time.Duration) {
	start := time.Now()
	go func() {
		slot, e := g.Enter(ctx, rank)
		if e != nil {
			j.add(ran{name, e.Kind, time.Since(start)})
			return
		}
		j.add(ran{name, "", time.Since(start)})
		time.Sleep(runs)
		slot.Leave()
	}()
	synctest.Wait()
}

func TestOrdersOfTheQueue(t *testing.T) {
	const service = 60 * time.Millisecond
	for order, want := range map[string][]string{
		fleet.OrderFIFO:     {"first", "a", "b", "c", "d"},
		fleet.OrderDeadline: {"first", "b", "d", "a", "c"},
		// The queue has stood for more than standFor when the third one leaves.
		fleet.OrderLIFO: {"first", "a", "d", "c", "b"},
	} {
		synctest.Test(t, func(t *testing.T) {
			g := started(Limits{Slots: 1, Queue: 4, Order: order})
			var log journal
			log.offer(g, within(t, 0), "first", 0, service)
			log.offer(g, within(t, 700*time.Millisecond), "a", 0, service)
			log.offer(g, within(t, 500*time.Millisecond), "b", 0, service)
			log.offer(g, within(t, 0), "c", 0, service)
			log.offer(g, within(t, 600*time.Millisecond), "d", 0, service)
			time.Sleep(time.Second)
			synctest.Wait()
			require.Equal(t, want, log.names(), order)
		})
	}
}

func TestRefusals(t *testing.T) {
	const service = 100 * time.Millisecond
	for name, c := range map[string]struct {
		limits   Limits
		deadline time.Duration
		want     kind.Kind
	}{
		"there is room":              {Limits{Slots: 1, Queue: 2}, 0, ""},
		"the queue is full":          {Limits{Slots: 1, Queue: 1}, 0, kind.Overloaded},
		"the wait is too long":       {Limits{Slots: 1, Queue: 9}, 150 * time.Millisecond, kind.Overloaded},
		"the wait is short enough":   {Limits{Slots: 1, Queue: 9}, 250 * time.Millisecond, ""},
		"refusal is off":             {Limits{Slots: 1, Queue: 0, NoRefusal: true}, 0, ""},
		"refusal is off, it is late": {Limits{Slots: 1, NoRefusal: true}, 150 * time.Millisecond, kind.DeadlineNotRun},
		"no slots":                   {Limits{Slots: 0, NoRefusal: true}, 0, kind.Overloaded},
	} {
		synctest.Test(t, func(t *testing.T) {
			g := started(c.limits)
			g.drain.service, g.drain.pause = service, service
			var log journal
			log.offer(g, within(t, 0), "running", 0, service)
			log.offer(g, within(t, 0), "waiting", 0, service)
			log.offer(g, within(t, c.deadline), "asked", 0, service)
			time.Sleep(time.Second)
			synctest.Wait()
			last := log.of("asked")
			require.Equal(t, c.want, last.refused, name)
			if c.want == kind.Overloaded {
				require.Zero(t, last.after, "%s: refused at once", name)
			}
			require.Zero(t, g.Load().InUse, name)
			require.Zero(t, g.Load().Waiting, name)
		})
	}
}

// The manifest board's reads fill the queue before a departure. A booking
// arrives; it must not be turned away while reads wait.
func TestHigherClassIsRefusedLater(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := started(Limits{Slots: 1, Queue: 2})
		var log journal
		log.offer(g, within(t, 0), "running", 1, time.Second)
		log.offer(g, within(t, 0), "read 1", 1, time.Second)
		log.offer(g, within(t, 0), "read 2", 1, time.Second)
		log.offer(g, within(t, 0), "booking", 5, time.Second)
		log.offer(g, within(t, 0), "read 3", 1, time.Second)
		time.Sleep(5 * time.Second)
		synctest.Wait()
		require.Equal(t, []string{"running", "read 2overloaded", "read 3overloaded", "read 1", "booking"}, log.names())
	})
}

// Callers that are refused together and told the same second come back together.
func TestRetryAfterFollowsTheDrainAndIsSpread(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := started(Limits{Slots: 2, Queue: 10})
		ctx := t.Context()
		var log journal
		for range 200 {
			log.offer(g, ctx, "", 0, time.Second)
			time.Sleep(100 * time.Millisecond)
		}
		for range 3 {
			log.offer(g, ctx, "", 0, time.Second)
		}
		// Two slots of a second each: two leave a second, and ten wait.
		least, most := time.Hour, time.Duration(0)
		for range 100 {
			_, e := g.Enter(ctx, Rank{})
			require.Equal(t, kind.Overloaded, e.Kind)
			least, most = min(least, e.RetryAfter), max(most, e.RetryAfter)
		}
		require.InDelta(t, 5.5, least.Seconds(), 1)
		require.InDelta(t, 11, most.Seconds(), 1.5)
		time.Sleep(time.Minute)
	})
}

// A deadline that passes at the moment of admission must not keep the slot.
func TestAbandonedRequestsLeaveNothingBehind(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := started(Limits{Slots: 2, Queue: 50, NoRefusal: true})
		var log journal
		for i := range 40 {
			log.offer(g, within(t, time.Duration(i)*5*time.Millisecond), "", 0, 10*time.Millisecond)
		}
		time.Sleep(time.Second)
		synctest.Wait()
		require.Len(t, log.rows, 40)
		require.Zero(t, g.Load().InUse)
		require.Zero(t, g.Load().Waiting)
	})
}

// A node is restarted while its backend server runs six requests of the node
// before. The new gate counts none; with all slots given out the server would run
// twelve, each twice as slow.
func TestGateStartsSlowlyBesideABusyServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := New()
		g.SetLimits(Limits{Slots: 6, Queue: 16})
		require.Equal(t, 1, g.Load().Limit, "before the server has said anything")
		g.BackendCount(6)
		require.Equal(t, 1, g.Load().Limit, "the server is full")
		g.BackendCount(4)
		require.Equal(t, 2, g.Load().Limit)
		g.BackendCount(0)
		require.Equal(t, 6, g.Load().Limit, "both agree")
		g.BackendCount(99)
		require.Equal(t, 6, g.Load().Limit, "later the gate's own count holds")
	})
}

// The backend server has no health endpoint, and its first request never ends.
func TestSlowStartLetsWaitersInByTimeAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := New()
		g.SetLimits(Limits{Slots: 4, Queue: 4})
		var log journal
		for range 4 {
			log.offer(g, within(t, 0), "", 0, time.Minute)
		}
		require.Len(t, log.names(), 1)
		time.Sleep(doubleEvery)
		synctest.Wait()
		require.Len(t, log.names(), 2)
		time.Sleep(doubleEvery)
		synctest.Wait()
		require.Len(t, log.names(), 4)
		time.Sleep(2 * time.Minute)
	})
}

func TestSlowStartEndsWhateverTheServerSays(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		silent, liar := New(), New()
		for _, g := range []*Gate{silent, liar} {
			g.SetLimits(Limits{Slots: 6, Queue: 16})
		}
		liar.BackendCount(1000)
		time.Sleep(2 * doubleEvery)
		require.Equal(t, 4, silent.Load().Limit)
		require.Equal(t, 1, liar.Load().Limit)
		time.Sleep(maxStart)
		require.Equal(t, 6, silent.Load().Limit)
		require.Equal(t, 6, liar.Load().Limit)
	})
}

// A neighbour takes most of the processor: the more requests the server runs,
// the longer each takes. The limit falls while it lasts and rises when it ends.
func TestConcurrencyFallsWhileTheServerIsSlow(t *testing.T) {
	var c concurrency
	c.reset(8)
	now := time.Unix(0, 0)
	run := func(took time.Duration, running func() int, samples int) {
		for range samples {
			now = now.Add(10 * time.Millisecond)
			c.sample(now, took, running())
		}
	}
	full := c.now
	run(5*time.Millisecond, full, 100)
	require.Equal(t, 8, c.now())
	run(50*time.Millisecond, full, 60)
	require.Equal(t, 4, c.now(), "half of the slots at the least")
	run(5*time.Millisecond, full, 100)
	require.Equal(t, 8, c.now(), "back when the server is")
	run(50*time.Millisecond, func() int { return 1 }, 60)
	require.Equal(t, 8, c.now(), "a slow request by itself is no overload")
	run(50*time.Millisecond, full, 5000)
	require.Equal(t, 8, c.now(), "slow as a rule")
}

func BenchmarkEnter(b *testing.B) {
	g := started(Limits{Slots: 1 << 20, Queue: 16})
	ctx := context.Background()
	b.Run("free", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			slot, _ := g.Enter(ctx, Rank{})
			slot.Leave()
		}
	})
	b.Run("parallel", func(b *testing.B) {
		b.ReportAllocs()
		b.RunParallel(func(pb *testing.PB) {
			for pb.Next() {
				slot, _ := g.Enter(ctx, Rank{})
				slot.Leave()
			}
		})
	})
	full := started(Limits{Slots: 1, Queue: 0})
	_, _ = full.Enter(ctx, Rank{})
	b.Run("refused", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			_, _ = full.Enter(ctx, Rank{})
		}
	})
}

func TestEnterDoesNotAllocate(t *testing.T) {
	g := started(Limits{Slots: 4, Queue: 4})
	ctx := context.Background()
	require.Zero(t, testing.AllocsPerRun(1000, func() {
		slot, _ := g.Enter(ctx, Rank{})
		slot.Leave()
	}))
}

// A slot is given at the same moment as the deadline passes. Whichever the
// waiter sees first, the slot must be used or given back, or the server has one
// slot less for good.
func TestSlotGivenAtTheDeadlineIsNotLost(t *testing.T) {
	late, used := 0, 0
	for range 200 {
		g := started(Limits{Slots: 1, Queue: 1})
		first, e := g.Enter(t.Context(), Rank{})
		require.Nil(t, e)
		ctx, cancel := context.WithCancel(t.Context())
		g.mu.Lock()
		w, e := g.enqueue(ctx, Rank{}, Wait{}, time.Now())
		g.mu.Unlock()
		require.Nil(t, e)
		first.Leave()
		cancel()
		if slot, e := g.wait(ctx, w); e == nil {
			used++
			slot.Leave()
		} else {
			late++
		}
		require.Zero(t, g.Load().InUse)
	}
	require.Positive(t, late)
	require.Positive(t, used)
}
