package gate

import (
	"context"
	"time"

	"github.com/limpetdock/limpetdock/internal/kind"
)

// scheduler is the state of a Gate's OrderGoodput.
type scheduler struct {
	// inForce is true if OrderGoodput is the gate's order.
	inForce bool
	turns   turns
	// starts and running are by level, and lateStarts counts the starts of requests that could no
	// longer be in time.
	starts     [levels]uint64
	running    [levels]int
	lateStarts uint64
	demands    demands
	// withheld is true if requests wait beside free slots that are reserved for higher ranks.
	withheld bool
	// reasons and after are scratch space of plan.
	reasons []Reason
	after   []int32
}

// admitByGoodput is admitOrEnqueue for OrderGoodput. The mutex is held.
func (g *Gate) admitByGoodput(ctx context.Context, rank Rank, limits WaitLimits, now time.Time) (Slot, *waiter, *kind.Error) {
	level, s := rank.level(), &g.scheduler
	s.demands.arrived(level, now, limits)
	reserved := g.reservations(now)
	if !reserved.withholds(level, limits.TimeInSlot) {
		// Slots may be free although requests wait that these are reserved from.
		if _, waiting := s.turns.choose(g.queue, now, g.standing(now), &reserved); !waiting {
			late := !limits.StartByObjective.IsZero() && now.After(limits.StartByObjective)
			if slot, admitted := g.startByGoodput(level, late, 0, now); admitted {
				return slot, nil, nil
			}
		}
	}
	w, refusal := g.enqueue(ctx, rank, limits, now)
	if refusal == nil {
		g.dispatch(now)
	}
	return Slot{}, w, refusal
}

// startByGoodput returns a slot if one more request may start now. present is that of choice. The
// mutex is held.
func (g *Gate) startByGoodput(level uint8, late bool, present uint32, now time.Time) (Slot, bool) {
	slot, admitted := g.admit(now)
	if !admitted {
		return Slot{}, false
	}
	s := &g.scheduler
	slot.counted, slot.level = true, level
	s.running[level]++
	s.starts[level]++
	if late {
		s.lateStarts++
	}
	s.turns.started(level, present, late)
	return slot, true
}

// dispatchByGoodput admits waiting requests while slots are free, and refuses those that can't be
// started in time. The mutex is held.
func (g *Gate) dispatchByGoodput(now time.Time) {
	g.scheduler.withheld = false
	for len(g.queue) > 0 && (g.running < g.limit(now) || g.mayStartTrial(now)) {
		reserved := g.reservations(now)
		c, found := g.scheduler.turns.choose(g.queue, now, g.standing(now), &reserved)
		if !found {
			g.scheduler.withheld = true
			break
		}
		slot, admitted := g.startByGoodput(g.queue[c.index].level, c.late, c.present, now)
		if !admitted {
			break
		}
		g.remove(c.index).result <- waitResult{admitted: true, slot: slot}
	}
	g.refuseUnservable(now)
}

// refuseUnservable refuses the requests in a standing queue that can't be started in time, given those
// ahead of them and the rate at which slots become free. The mutex is held.
func (g *Gate) refuseUnservable(now time.Time) {
	if !g.standing(now) || g.limits.NoRefusal {
		return
	}
	n := len(g.queue)
	p := pace{first: g.expectedWait(now, 0), standingFor: now.Sub(g.nonEmptySince)}
	if n > 1 {
		p.each = (g.expectedWait(now, n-1) - p.first) / time.Duration(n-1)
	}
	s := &g.scheduler
	if len(s.reasons) < n {
		s.reasons, s.after = make([]Reason, 2*n), make([]int32, 2*n)
	}
	if s.turns.plan(g.queue, now, p, s.reasons[:n], s.after[:n]) == 0 {
		return
	}
	reserved := g.reservations(now)
	kept := g.queue[:0]
	for i, w := range g.queue {
		if r := s.reasons[i]; r != notRefused {
			if reserved.free > 0 && reserved.withholds(w.level, w.timeInSlot) {
				r = Reserved
			}
			w.result <- waitResult{refused: r}
			continue
		}
		kept = append(kept, w)
	}
	clear(g.queue[len(kept):])
	g.queue = kept
}
