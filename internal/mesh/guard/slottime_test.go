package guard

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetdock/limpetdock/internal/gate"
	"github.com/limpetdock/limpetdock/internal/mesh"
	"github.com/limpetdock/limpetdock/internal/virtualtime"
)

// newTimedGuard returns a guard in virtual time.
func newTimedGuard(scheduling bool) *Guard {
	start := time.Now()
	g := New(Config{Now: func() time.Duration { return time.Since(start) }, LoadChanged: func(bool) {}})
	g.SetView(&mesh.View{Config: mesh.NewConfig(1, nil, nil, mesh.Limits{}), OverloadScheduling: scheduling})
	return g
}

// Guards against requests that count as late, or as in time, by the times of a few requests after a
// restart or of an overload that has ended.
func TestExpectedSlotTimeNeedsRecentSamples(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		g := newTimedGuard(true)
		s := &requestState{class: "read", baseService: 100 * time.Millisecond}
		require.Equal(t, 100*time.Millisecond, g.expectedSlotTime(s))
		g.slowdown.setWarmAt(time.Hour)
		g.slowdown.report(g.Now(), 2)
		require.Equal(t, 200*time.Millisecond, g.expectedSlotTime(s), "a cold server")
		run := func() {
			r := &requestState{class: "read", slotAt: g.Now(), slowdown: slowdownState{current: 2}}
			// 50 ms until the request is confirmed, and 250 ms instead of 125 at the server.
			time.Sleep(300 * time.Millisecond)
			r.backendTime = 250 * time.Millisecond
			g.recordSlotTime(r)
		}
		for range minSlotTimes - 1 {
			run()
		}
		require.Equal(t, 200*time.Millisecond, g.expectedSlotTime(s), "too few samples")
		run()
		require.Equal(t, 350*time.Millisecond, g.expectedSlotTime(s))
		require.Equal(t, 100*time.Millisecond*2, g.expectedSlotTime(&requestState{class: "other", baseService: 100 * time.Millisecond}))
		time.Sleep(maxSlotTimeAge + time.Millisecond)
		require.Equal(t, 200*time.Millisecond, g.expectedSlotTime(s), "too old samples")
	})
}

// Guards against requests that count as late for good, and are refused, because they arrived during a slowdown
// of a moment.
func TestExpectedSlotTimeExcludesTransientSlowdowns(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		g := newTimedGuard(true)
		g.slowdown.report(g.Now(), 1)
		time.Sleep(10 * time.Millisecond)
		g.slowdown.report(g.Now(), 4)
		require.Equal(t, 100*time.Millisecond, g.expectedSlotTime(&requestState{class: "read", baseService: 100 * time.Millisecond}))
	})
}

// Guards against limits and an order that change where goodput scheduling is off.
func TestWaitLimitsFollowBaseServiceTimeUnlessScheduled(t *testing.T) {
	const base, objective, remaining = 100 * time.Millisecond, 300 * time.Millisecond, 800 * time.Millisecond
	virtualtime.Test(t, func(t *testing.T) {
		for _, scheduling := range []bool{false, true} {
			g := newTimedGuard(scheduling)
			g.slowdown.setWarmAt(time.Hour)
			g.slowdown.report(0, 2)
			for range minSlotTimes {
				g.slotTimes.record("read", g.Now(), 3*base)
			}
			now := time.Now()
			s := &requestState{class: "read", baseService: base, start: g.Now(), request: &mesh.Request{ObjectiveRemaining: objective, QueueTimeout: time.Second, Nested: true}}
			got := g.waitLimits(s, g.Now()+remaining)
			want := gate.WaitLimits{QueueTimeout: time.Second, StartByObjective: now.Add(objective - base), StartByDeadline: now.Add(remaining - base/2)}
			order := gate.OrderInTime
			if scheduling {
				want.TimeInSlot = 6 * base
				want.StartByObjective, want.StartByDeadline = now.Add(objective-6*base), now.Add(remaining-6*base)
				order = gate.OrderGoodput
			}
			require.Equal(t, want, got)
			require.Equal(t, order, orderFor(g.view.Load()))
		}
	})
}
