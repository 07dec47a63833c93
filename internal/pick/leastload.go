package pick

import (
	"slices"
	"time"
)

// leastLoad chooses the candidate with the least Cost. Among those whose Cost is
// greater by less than half a request it chooses at random: such a difference is
// noise. An entry uses few targets, and knows only its own requests in flight
// exactly. So comparing all targets doesn't lead every entry to the same one.
// Reports, which all entries see, count only beyond random variation (see
// Target.others).
type leastLoad struct{}

func (leastLoad) Choose(d Draw, among []*Target) *Target {
	if len(among) == 1 {
		return among[0]
	}
	var room [maxNear]float64
	costs := room[:len(among)]
	for i, t := range among {
		costs[i] = t.Cost(d.Now)
	}
	least := slices.Min(costs)
	tie := least + among[slices.Index(costs, least)].halfRequest(d.Now)
	tied := 0
	for _, c := range costs {
		if c <= tie {
			tied++
		}
	}
	nth := d.Rand.IntN(tied)
	for i, c := range costs {
		if c > tie {
			continue
		}
		if nth == 0 {
			return among[i]
		}
		nth--
	}
	return among[0]
}

// halfRequest returns half of what one more request in flight adds to Cost.
func (t *Target) halfRequest(now time.Duration) float64 {
	_, server := t.unloaded(now)
	return server / float64(2*max(t.Slots, 1))
}
