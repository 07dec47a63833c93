package gate

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetdock/limpetdock/internal/kind"
	"github.com/limpetdock/limpetdock/internal/virtualtime"
)

// For ten seconds twice as many reads arrive as the backend server can run. With first in,
// first out the queue soon becomes so long that every read is served after its latency
// objective, which wastes most of the server's capacity. Requests that can still meet their
// objective must run first.
func TestOrderInTimeServesMoreInTimeThanFIFOUnderOverload(t *testing.T) {
	fifo, served := overload(t, "")
	inTime, servedInTime := overload(t, OrderInTime)
	t.Logf("of 800 requests in time: fifo %d, OrderInTime %d; served: %d, %d", fifo, inTime, served, servedInTime)
	require.Greater(t, inTime, 3*fifo)
	require.GreaterOrEqual(t, servedInTime*10, served*9)
}

// overload sends requests of 100 ms to four slots, twice as many as these can run, each
// with a latency objective of 300 ms and a deadline of one second.
func overload(t *testing.T, order string) (inTime, served int) {
	const (
		requests     = 800
		serviceTime  = 100 * time.Millisecond
		objective    = 300 * time.Millisecond
		queueTimeout = time.Second - serviceTime
		interval     = serviceTime / 8
	)
	var inTimeCount, servedCount atomic.Int32
	virtualtime.Test(t, func(t *testing.T) {
		g := New()
		g.SetLimits(Limits{Slots: 4, Queue: 64, Order: order})
		g.SetBackendRunning(0)
		for range requests {
			arrived := time.Now()
			go func() {
				ctx, cancel := context.WithDeadline(t.Context(), arrived.Add(time.Second))
				defer cancel()
				slot, refusal := g.AcquireWithin(ctx, Rank{}, WaitLimits{QueueTimeout: queueTimeout, StartByObjective: arrived.Add(objective - serviceTime)})
				if refusal != nil {
					return
				}
				time.Sleep(serviceTime)
				slot.Release()
				servedCount.Add(1)
				if time.Since(arrived) <= objective {
					inTimeCount.Add(1)
				}
			}()
			time.Sleep(interval)
		}
		time.Sleep(2 * time.Second)
	})
	return int(inTimeCount.Load()), int(servedCount.Load())
}

func TestLateRequestsRunOnlyWhenNoOthersWait(t *testing.T) {
	now := time.Now()
	queue := []*waiter{{startByObjective: now.Add(-time.Second)}, {startByObjective: now.Add(time.Second)}, {}}
	require.Equal(t, 1, inTime{}.next(queue, now, false))
	require.Equal(t, 2, inTime{}.ahead(queue, &waiter{startByObjective: now.Add(time.Second)}, now, false))
	require.Equal(t, 3, inTime{}.ahead(queue, &waiter{startByObjective: now.Add(-time.Second)}, now, false))
	require.Equal(t, 0, inTime{}.next(queue[:1], now, false))
}

// Many late requests wait, which run last. Another request would have only one ahead, but
// its queue timeout is shorter than that wait. The refusal must report this short wait:
// with that of the whole queue, its sender would consider every guard of the service full
// and refuse the request, while the late ones run.
func TestRefusalReportsOnlyTheWaitForRequestsAhead(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		const serviceTime = 100 * time.Millisecond
		g := New()
		g.SetLimits(Limits{Slots: 1, Queue: 64, Order: OrderInTime})
		g.SetBackendRunning(0)
		ctx, cancel := context.WithCancel(t.Context())
		send := func(startByObjective time.Duration, queueTimeout time.Duration) *kind.Error {
			slot, refusal := g.AcquireWithin(ctx, Rank{}, WaitLimits{QueueTimeout: queueTimeout, StartByObjective: time.Now().Add(startByObjective)})
			if refusal != nil {
				return refusal
			}
			time.Sleep(serviceTime)
			slot.Release()
			return nil
		}
		for range 30 {
			go func() { _ = send(-time.Second, time.Minute) }()
		}
		time.Sleep(10 * serviceTime)
		go func() { _ = send(time.Second, time.Minute) }()
		synctest.Wait()
		refusal := send(time.Second, time.Millisecond)
		require.NotNil(t, refusal)
		t.Logf("20 late requests and one in time wait, %v each: reported wait %v", serviceTime, refusal.Wait)
		require.LessOrEqual(t, refusal.Wait, 3*serviceTime)
		require.Less(t, refusal.RetryAfter, 20*serviceTime)
		late := send(-time.Second, time.Millisecond)
		require.NotNil(t, late)
		require.Greater(t, late.Wait, 15*serviceTime, "a late request runs last")
		cancel()
		time.Sleep(2 * serviceTime)
	})
}

// Overload fills the queue with requests that can still meet their latency objective, and
// these run first. A late request isn't started for as long as they arrive. It must be
// refused while another target can still serve it, and not only at its deadline.
func TestLateRequestIsRefusedBeforeItsDeadlineUnderOverload(t *testing.T) {
	const (
		serviceTime     = 100 * time.Millisecond
		interval        = 90 * time.Millisecond
		startByDeadline = 2 * time.Second
	)
	virtualtime.Test(t, func(t *testing.T) {
		g := newWarmGate(Limits{Slots: 1, Queue: 64, Order: OrderInTime})
		ctx, cancel := context.WithTimeout(t.Context(), 4*time.Second)
		defer cancel()
		for range 3 {
			go run(ctx, g, serviceTime, WaitLimits{QueueTimeout: time.Minute, StartByObjective: time.Now().Add(time.Minute)})
		}
		go func() {
			for ctx.Err() == nil {
				go run(ctx, g, serviceTime, WaitLimits{QueueTimeout: time.Minute, StartByObjective: time.Now().Add(5 * serviceTime)})
				time.Sleep(interval)
			}
		}()
		synctest.Wait()
		start := time.Now()
		_, refusal := g.AcquireWithin(ctx, Rank{}, WaitLimits{QueueTimeout: time.Minute, StartByObjective: start.Add(serviceTime / 2), StartByDeadline: start.Add(startByDeadline)})
		require.NotNil(t, refusal)
		require.Equal(t, kind.Overloaded, refusal.Kind)
		require.Equal(t, kind.NotRun, refusal.ReportedOutcome())
		require.Less(t, time.Since(start), startByDeadline*3/4, "with time left for another target")
		require.Positive(t, refusal.RetryAfter)
		<-ctx.Done()
		time.Sleep(time.Second)
	})
}

// Without overload, a late request still runs as soon as a slot is free.
func TestLateRequestIsServedWhenTheQueueEmpties(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		g := newWarmGate(Limits{Slots: 1, Queue: 64, Order: OrderInTime})
		go run(t.Context(), g, 400*time.Millisecond, WaitLimits{})
		synctest.Wait()
		slot, refusal := g.AcquireWithin(t.Context(), Rank{}, WaitLimits{
			QueueTimeout: time.Minute, StartByObjective: time.Now().Add(50 * time.Millisecond), StartByDeadline: time.Now().Add(2 * time.Second),
		})
		require.Nil(t, refusal)
		slot.Release()
	})
}

// run runs one request if it gets a slot.
func run(ctx context.Context, g *Gate, serviceTime time.Duration, limits WaitLimits) {
	slot, refusal := g.AcquireWithin(ctx, Rank{}, limits)
	if refusal != nil {
		return
	}
	time.Sleep(serviceTime)
	slot.Release()
}
