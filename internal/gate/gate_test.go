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
	"github.com/limpetdock/limpetdock/internal/virtualtime"
)

// newWarmGate returns a gate whose slow start has ended.
func newWarmGate(l Limits) *Gate {
	g := New()
	g.SetLimits(l)
	g.SetBackendRunning(0)
	return g
}

// withTimeout returns a context with a timeout, or without one for 0.
func withTimeout(t *testing.T, d time.Duration) context.Context {
	if d == 0 {
		return t.Context()
	}
	ctx, cancel := context.WithTimeout(t.Context(), d)
	t.Cleanup(cancel)
	return ctx
}

// outcome is the outcome of one request sent to a gate: how long it waited, and the kind of
// the refusal if it was refused.
type outcome struct {
	name    string
	refused kind.Kind
	after   time.Duration
}

// outcomeLog holds the outcomes of requests in the order in which they were admitted or
// refused.
type outcomeLog struct {
	mu   sync.Mutex
	rows []outcome
}

func (j *outcomeLog) add(r outcome) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.rows = append(j.rows, r)
}

func (j *outcomeLog) names() (list []string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, r := range j.rows {
		list = append(list, r.name+string(r.refused))
	}
	return list
}

func (j *outcomeLog) of(name string) outcome {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.rows[slices.IndexFunc(j.rows, func(r outcome) bool { return r.name == name })]
}

// send sends a request that runs for serviceTime, on its own goroutine, and records its
// outcome.
func (j *outcomeLog) send(g *Gate, ctx context.Context, name string, class int, serviceTime time.Duration) {
	j.sendRanked(g, ctx, name, Rank{Class: class}, serviceTime)
}

func (j *outcomeLog) sendRanked(g *Gate, ctx context.Context, name string, rank Rank, serviceTime time.Duration) {
	start := time.Now()
	go func() {
		slot, e := g.Acquire(ctx, rank)
		if e != nil {
			j.add(outcome{name, e.Kind, time.Since(start)})
			return
		}
		j.add(outcome{name, "", time.Since(start)})
		time.Sleep(serviceTime)
		slot.Release()
	}()
	synctest.Wait()
}

func TestQueueOrders(t *testing.T) {
	const serviceTime = 60 * time.Millisecond
	for order, want := range map[string][]string{
		fleet.OrderFIFO:     {"first", "a", "b", "c", "d"},
		fleet.OrderDeadline: {"first", "b", "d", "a", "c"},
		// The queue is standing when the third request completes.
		fleet.OrderLIFO: {"first", "a", "d", "c", "b"},
	} {
		virtualtime.Test(t, func(t *testing.T) {
			g := newWarmGate(Limits{Slots: 1, Queue: 4, Order: order})
			var log outcomeLog
			log.send(g, withTimeout(t, 0), "first", 0, serviceTime)
			log.send(g, withTimeout(t, 700*time.Millisecond), "a", 0, serviceTime)
			log.send(g, withTimeout(t, 500*time.Millisecond), "b", 0, serviceTime)
			log.send(g, withTimeout(t, 0), "c", 0, serviceTime)
			log.send(g, withTimeout(t, 600*time.Millisecond), "d", 0, serviceTime)
			time.Sleep(time.Second)
			synctest.Wait()
			require.Equal(t, want, log.names(), order)
		})
	}
}

func TestRefusalsByLimitsAndDeadline(t *testing.T) {
	const serviceTime = 100 * time.Millisecond
	for name, c := range map[string]struct {
		limits   Limits
		deadline time.Duration
		want     kind.Kind
	}{
		"there is room":                   {Limits{Slots: 1, Queue: 2}, 0, ""},
		"the queue is full":               {Limits{Slots: 1, Queue: 1}, 0, kind.Overloaded},
		"the wait is too long":            {Limits{Slots: 1, Queue: 9}, 150 * time.Millisecond, kind.Overloaded},
		"the wait is short enough":        {Limits{Slots: 1, Queue: 9}, 250 * time.Millisecond, ""},
		"refusal is off":                  {Limits{Slots: 1, Queue: 0, NoRefusal: true}, 0, ""},
		"refusal is off, deadline passes": {Limits{Slots: 1, NoRefusal: true}, 150 * time.Millisecond, kind.DeadlineNotRun},
		"no slots":                        {Limits{Slots: 0, NoRefusal: true}, 0, kind.Overloaded},
	} {
		virtualtime.Test(t, func(t *testing.T) {
			g := newWarmGate(c.limits)
			g.drain.serviceTime, g.drain.interval = serviceTime, serviceTime
			var log outcomeLog
			log.send(g, withTimeout(t, 0), "running", 0, serviceTime)
			log.send(g, withTimeout(t, 0), "waiting", 0, serviceTime)
			log.send(g, withTimeout(t, c.deadline), "last", 0, serviceTime)
			time.Sleep(time.Second)
			synctest.Wait()
			last := log.of("last")
			require.Equal(t, c.want, last.refused, name)
			if c.want == kind.Overloaded {
				require.Zero(t, last.after, "%s: refused at once", name)
			}
			require.Zero(t, g.Load().InUse, name)
			require.Zero(t, g.Load().Waiting, name)
		})
	}
}

// Reads of the manifest board fill the queue before a departure. A booking of a higher class
// that arrives then must not be refused while reads wait.
func TestHigherClassEvictsALowerOneFromAFullQueue(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		g := newWarmGate(Limits{Slots: 1, Queue: 2})
		var log outcomeLog
		log.send(g, withTimeout(t, 0), "running", 1, time.Second)
		log.send(g, withTimeout(t, 0), "read 1", 1, time.Second)
		log.send(g, withTimeout(t, 0), "read 2", 1, time.Second)
		log.send(g, withTimeout(t, 0), "booking", 5, time.Second)
		log.send(g, withTimeout(t, 0), "read 3", 1, time.Second)
		time.Sleep(5 * time.Second)
		synctest.Wait()
		require.Equal(t, []string{"running", "read 2overloaded", "read 3overloaded", "read 1", "booking"}, log.names())
	})
}

// Guards against callers that are refused together, get the same Retry-After and so repeat
// their requests together.
func TestRetryAfterFollowsTheDrainRateAndIsSpread(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		g := newWarmGate(Limits{Slots: 2, Queue: 10})
		ctx := t.Context()
		var log outcomeLog
		for range 200 {
			log.send(g, ctx, "", 0, time.Second)
			time.Sleep(100 * time.Millisecond)
		}
		for range 3 {
			log.send(g, ctx, "", 0, time.Second)
		}
		// With two slots and requests of one second, two complete per second, and ten wait.
		least, most := time.Hour, time.Duration(0)
		for range 100 {
			_, e := g.Acquire(ctx, Rank{})
			require.Equal(t, kind.Overloaded, e.Kind)
			least, most = min(least, e.RetryAfter), max(most, e.RetryAfter)
		}
		require.InDelta(t, 5.5, least.Seconds(), 1)
		require.InDelta(t, 11, most.Seconds(), 1.5)
		time.Sleep(time.Minute)
	})
}

// A request whose deadline passes at the moment of its admission must not keep the slot.
func TestTimedOutRequestsLeaveNoSlotOrWaiterBehind(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		g := newWarmGate(Limits{Slots: 2, Queue: 50, NoRefusal: true})
		var log outcomeLog
		for i := range 40 {
			log.send(g, withTimeout(t, time.Duration(i)*5*time.Millisecond), "", 0, 10*time.Millisecond)
		}
		time.Sleep(time.Second)
		synctest.Wait()
		require.Len(t, log.rows, 40)
		require.Zero(t, g.Load().InUse)
		require.Zero(t, g.Load().Waiting)
	})
}

// A node is restarted while its backend server runs six requests of the previous process.
// The new gate counts none of them. If it used all slots, the server would run twelve
// requests, each twice as slow.
func TestSlowStartUsesTheCountOfABusyServer(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		g := New()
		g.SetLimits(Limits{Slots: 6, Queue: 16})
		require.Equal(t, 1, g.Load().Limit, "before the first report of the server")
		g.SetBackendRunning(6)
		require.Equal(t, 1, g.Load().Limit, "the server is full")
		g.SetBackendRunning(4)
		require.Equal(t, 2, g.Load().Limit)
		g.SetBackendRunning(0)
		require.Equal(t, 6, g.Load().Limit, "both counts agree")
		g.SetBackendRunning(99)
		require.Equal(t, 6, g.Load().Limit, "afterwards the gate's own count is used")
	})
}

// The backend server has no health endpoint, and its first request doesn't end, so that
// neither reports nor completions raise the limit.
func TestSlowStartAdmitsWaitersOverTimeWithoutReports(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		g := New()
		g.SetLimits(Limits{Slots: 4, Queue: 4})
		var log outcomeLog
		for range 4 {
			log.send(g, withTimeout(t, 0), "", 0, time.Minute)
		}
		require.Len(t, log.names(), 1)
		time.Sleep(doublingInterval)
		synctest.Wait()
		require.Len(t, log.names(), 2)
		time.Sleep(doublingInterval)
		synctest.Wait()
		require.Len(t, log.names(), 4)
		time.Sleep(2 * time.Minute)
	})
}

func TestSlowStartEndsWhateverTheServerReports(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		silent, overstating := New(), New()
		for _, g := range []*Gate{silent, overstating} {
			g.SetLimits(Limits{Slots: 6, Queue: 16})
		}
		overstating.SetBackendRunning(1000)
		time.Sleep(2 * doublingInterval)
		require.Equal(t, 4, silent.Load().Limit)
		require.Equal(t, 1, overstating.Load().Limit)
		time.Sleep(maxSlowStart)
		require.Equal(t, 6, silent.Load().Limit)
		require.Equal(t, 6, overstating.Load().Limit)
	})
}

// A neighbour uses most of the processor, so that each request takes longer the more
// requests run. The limit must fall meanwhile and rise afterwards.
func TestAdaptiveLimitFallsWhileTheServerIsSlow(t *testing.T) {
	var c adaptiveLimit
	c.reset(8)
	now := time.Unix(0, 0)
	run := func(took time.Duration, running func() int, samples int) {
		for range samples {
			now = now.Add(10 * time.Millisecond)
			c.record(now, took, running())
		}
	}
	full := c.current
	run(5*time.Millisecond, full, 100)
	require.Equal(t, 8, c.current())
	run(50*time.Millisecond, full, 60)
	require.Equal(t, 4, c.current(), "at least half of the slots")
	run(5*time.Millisecond, full, 100)
	require.Equal(t, 8, c.current(), "rises when the server has recovered")
	run(50*time.Millisecond, func() int { return 1 }, 60)
	require.Equal(t, 8, c.current(), "slow requests below the limit are no overload")
	run(50*time.Millisecond, full, 5000)
	require.Equal(t, 8, c.current(), "slow in general")
}

func BenchmarkEnter(b *testing.B) {
	g := newWarmGate(Limits{Slots: 1 << 20, Queue: 16})
	ctx := context.Background()
	b.Run("free", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			slot, _ := g.Acquire(ctx, Rank{})
			slot.Release()
		}
	})
	b.Run("parallel", func(b *testing.B) {
		b.ReportAllocs()
		b.RunParallel(func(pb *testing.PB) {
			for pb.Next() {
				slot, _ := g.Acquire(ctx, Rank{})
				slot.Release()
			}
		})
	})
	full := newWarmGate(Limits{Slots: 1, Queue: 0})
	_, _ = full.Acquire(ctx, Rank{})
	b.Run("refused", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			_, _ = full.Acquire(ctx, Rank{})
		}
	})
}

func TestAcquireDoesNotAllocate(t *testing.T) {
	g := newWarmGate(Limits{Slots: 4, Queue: 4})
	ctx := context.Background()
	require.Zero(t, testing.AllocsPerRun(1000, func() {
		slot, _ := g.Acquire(ctx, Rank{})
		slot.Release()
	}))
}

// A slot is granted at the moment the deadline passes. Whichever the waiter receives first,
// the slot must be used or released; otherwise the server permanently has one slot less.
func TestSlotGrantedAtTheDeadlineIsNotLost(t *testing.T) {
	late, used := 0, 0
	for range 200 {
		g := newWarmGate(Limits{Slots: 1, Queue: 1})
		first, e := g.Acquire(t.Context(), Rank{})
		require.Nil(t, e)
		ctx, cancel := context.WithCancel(t.Context())
		g.mu.Lock()
		w, e := g.enqueue(ctx, Rank{}, WaitLimits{}, time.Now())
		g.mu.Unlock()
		require.Nil(t, e)
		first.Release()
		cancel()
		if slot, e := g.wait(ctx, w); e == nil {
			used++
			slot.Release()
		} else {
			late++
		}
		require.Zero(t, g.Load().InUse)
	}
	require.Positive(t, late)
	require.Positive(t, used)
}
