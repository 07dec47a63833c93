package gate

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetdock/limpetdock/internal/kind"
)

// Twice as many reads come for ten seconds as the backend server can run. First
// in, first out, the queue soon is so long that every read is answered, but
// after a caller has lost interest: the server works at its limit for next to
// nothing. Those that can still make it must go first.
func TestUnderOverloadThoseGoFirstThatCanStillMakeIt(t *testing.T) {
	fifo, served := overload(t, "")
	inTime, servedInTime := overload(t, OrderInTime)
	t.Logf("of 800 requests in time: fifo %d, in time first %d; served at all: %d, %d", fifo, inTime, served, servedInTime)
	require.Greater(t, inTime, 3*fifo)
	require.GreaterOrEqual(t, servedInTime*10, served*9)
}

// overload sends requests of 100 ms to four slots, twice as many as they carry,
// each worth an answer within 300 ms and waiting for a second.
func overload(t *testing.T, order string) (inTime, served int) {
	const (
		requests = 800
		work     = 100 * time.Millisecond
		aim      = 300 * time.Millisecond
		patience = time.Second - work
		every    = work / 8
	)
	var met, ran atomic.Int32
	synctest.Test(t, func(t *testing.T) {
		g := New()
		g.SetLimits(Limits{Slots: 4, Queue: 64, Order: order})
		g.BackendCount(0)
		for range requests {
			arrived := time.Now()
			go func() {
				ctx, cancel := context.WithDeadline(t.Context(), arrived.Add(time.Second))
				defer cancel()
				slot, refusal := g.EnterWithin(ctx, Rank{}, Wait{Patience: patience, StartBy: arrived.Add(aim - work)})
				if refusal != nil {
					return
				}
				time.Sleep(work)
				slot.Leave()
				ran.Add(1)
				if time.Since(arrived) <= aim {
					met.Add(1)
				}
			}()
			time.Sleep(every)
		}
		time.Sleep(2 * time.Second)
	})
	return int(met.Load()), int(ran.Load())
}

func TestTheLateRunOnlyWhenNobodyElseWaits(t *testing.T) {
	now := time.Now()
	queue := []*waiter{{startBy: now.Add(-time.Second)}, {startBy: now.Add(time.Second)}, {}}
	require.Equal(t, 1, inTime{}.next(queue, now, false))
	require.Equal(t, 2, inTime{}.ahead(queue, &waiter{startBy: now.Add(time.Second)}, now, false))
	require.Equal(t, 3, inTime{}.ahead(queue, &waiter{startBy: now.Add(-time.Second)}, now, false))
	require.Equal(t, 0, inTime{}.next(queue[:1], now, false))
}

// Requests whose time is up wait in numbers, and go last. Another one could be run after
// one other, but its sender gives it too little patience. It must hear of that short
// wait: told that of the whole queue, its sender took every guard of the service for
// full and refused it, while the late ones ran.
func TestARefusalTellsTheWaitOfThoseAheadOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const work = 100 * time.Millisecond
		g := New()
		g.SetLimits(Limits{Slots: 1, Queue: 64, Order: OrderInTime})
		g.BackendCount(0)
		ctx, cancel := context.WithCancel(t.Context())
		enter := func(startBy time.Duration, patience time.Duration) *kind.Error {
			slot, refusal := g.EnterWithin(ctx, Rank{}, Wait{Patience: patience, StartBy: time.Now().Add(startBy)})
			if refusal != nil {
				return refusal
			}
			time.Sleep(work)
			slot.Leave()
			return nil
		}
		for range 30 {
			go func() { _ = enter(-time.Second, time.Minute) }()
		}
		time.Sleep(10 * work)
		go func() { _ = enter(time.Second, time.Minute) }()
		synctest.Wait()
		refusal := enter(time.Second, time.Millisecond)
		require.NotNil(t, refusal)
		t.Logf("20 late ones and one in time wait for %v each: told %v", work, refusal.Wait)
		require.LessOrEqual(t, refusal.Wait, 3*work)
		require.Less(t, refusal.RetryAfter, 20*work)
		late := enter(-time.Second, time.Millisecond)
		require.NotNil(t, late)
		require.Greater(t, late.Wait, 15*work, "a late one goes last")
		cancel()
		time.Sleep(2 * work)
	})
}

// A rush fills the queue with requests that can still be answered in time, and these go
// first. One that is late already is never started while they come. It must learn so while
// it has time to be served elsewhere, and not at its deadline.
func TestWhatIsNeverStartedIsRefusedBeforeItsDeadline(t *testing.T) {
	const (
		work  = 100 * time.Millisecond
		every = 90 * time.Millisecond
		last  = 2 * time.Second
	)
	synctest.Test(t, func(t *testing.T) {
		g := started(Limits{Slots: 1, Queue: 64, Order: OrderInTime})
		ctx, cancel := context.WithTimeout(t.Context(), 4*time.Second)
		defer cancel()
		for range 3 {
			go run(ctx, g, work, Wait{Patience: time.Minute, StartBy: time.Now().Add(time.Minute)})
		}
		go func() {
			for ctx.Err() == nil {
				go run(ctx, g, work, Wait{Patience: time.Minute, StartBy: time.Now().Add(5 * work)})
				time.Sleep(every)
			}
		}()
		synctest.Wait()
		began := time.Now()
		_, refusal := g.EnterWithin(ctx, Rank{}, Wait{Patience: time.Minute, StartBy: began.Add(work / 2), Last: began.Add(last)})
		require.NotNil(t, refusal)
		require.Equal(t, kind.Overloaded, refusal.Kind)
		require.Equal(t, kind.NotRun, refusal.Said())
		require.Less(t, time.Since(began), last*3/4, "with time to go elsewhere")
		require.Positive(t, refusal.RetryAfter)
		<-ctx.Done()
		time.Sleep(time.Second)
	})
}

// The same without a rush: whoever is late is still run, as soon as there is a slot.
func TestWhatIsLateIsServedWhenTheQueueEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := started(Limits{Slots: 1, Queue: 64, Order: OrderInTime})
		go run(t.Context(), g, 400*time.Millisecond, Wait{})
		synctest.Wait()
		slot, refusal := g.EnterWithin(t.Context(), Rank{}, Wait{
			Patience: time.Minute, StartBy: time.Now().Add(50 * time.Millisecond), Last: time.Now().Add(2 * time.Second),
		})
		require.Nil(t, refusal)
		slot.Leave()
	})
}

// run runs one request if it gets a slot.
func run(ctx context.Context, g *Gate, work time.Duration, limits Wait) {
	slot, refusal := g.EnterWithin(ctx, Rank{}, limits)
	if refusal != nil {
		return
	}
	time.Sleep(work)
	slot.Leave()
}
