package pick

import (
	"slices"
	"time"
)

// leastLoad takes the cheapest of all candidates by Cost, and a random one of
// those that are dearer by less than half a request: such a difference is noise.
// An entry knows few targets, and its own requests in flight are exact and
// known to it alone, so that looking at all of them doesn't send every entry to the
// same one; the reports that all entries see count only beyond what chance
// explains (see Target.others).
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

// halfRequest is half of what one more request in flight adds to Cost.
func (t *Target) halfRequest(now time.Duration) float64 {
	_, server := t.idle(now)
	return server / float64(2*max(t.Slots, 1))
}
