package gate

import "time"

// Schedule is what OrderGoodput has done since the start, and what waits.
type Schedule struct {
	// InForce is true if OrderGoodput is the gate's order.
	InForce bool
	// Ranks are the ranks that have had requests under OrderGoodput, in its order.
	Ranks []RankState
	// LateStarts counts the starts of requests that could no longer be in time.
	LateStarts uint64
	// Refusals counts the refusals by reason, under any order.
	Refusals [reasonCount]uint64
}

// RankState is the state of one rank.
type RankState struct {
	Nested   bool `json:"nested"`
	Priority int  `json:"priority"`
	// Waiting are the requests in the queue, WaitingInTime those of them that can be in time, and Running those
	// that hold slots.
	Waiting       int `json:"waiting"`
	WaitingInTime int `json:"waiting_in_time"`
	Running       int `json:"running"`
	// Reserved is the number of free slots that are kept for the rank.
	Reserved int    `json:"reserved"`
	Starts   uint64 `json:"starts"`
}

// Schedule returns the counters and the state of the gate's scheduling.
func (g *Gate) Schedule() Schedule {
	g.mu.Lock()
	defer g.mu.Unlock()
	now, s := time.Now(), &g.scheduler
	out := Schedule{InForce: s.inForce, LateStarts: s.lateStarts, Refusals: g.refusals}
	var waiting, inTime [levels]int
	for _, w := range g.queue {
		waiting[w.level]++
		if !w.late(now) {
			inTime[w.level]++
		}
	}
	reserved := g.reservations(now)
	for l := range levels {
		if waiting[l] == 0 && s.starts[l] == 0 {
			continue
		}
		out.Ranks = append(out.Ranks, RankState{
			Nested: l < Priorities, Priority: l % Priorities, Waiting: waiting[l], WaitingInTime: inTime[l], Running: s.running[l], Reserved: reserved.slotsOf(uint8(l)), Starts: s.starts[l],
		})
	}
	return out
}
