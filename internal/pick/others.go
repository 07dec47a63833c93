package pick

import (
	"math"
	"time"
)

// loadHalf is the age at which a load report counts half when regions are compared.
const loadHalf = 100 * time.Millisecond

// chance is how many standard deviations of a count are taken for noise.
const chance = 2

// timeBits is how many bits of a load word hold the time in microseconds, which
// is enough for eight years; the rest holds the number of requests.
const timeBits = 48

// loadOf packs what a report says of other nodes' requests, and when it came,
// into one word, so that a choice reads them together and follows no pointer.
func loadOf(r Report) uint64 {
	others := min(max(r.Running+r.Waiting-r.own, 0), 1<<(64-timeBits)-1)
	return uint64(others)<<timeBits | uint64(r.At.Microseconds())
}

// reported gives the requests of other nodes that the last report counted, and
// its age. known is false before the first one.
func (s *Stat) reported(now time.Duration) (others float64, age time.Duration, known bool) {
	load := s.load.Load()
	at := time.Duration(load&(1<<timeBits-1)) * time.Microsecond
	return float64(load >> timeBits), max(now-at, 0), load != 0
}

// others estimates the requests of other nodes at the target, for a comparison
// with targets of the same region: as many as reports of the whole service say
// on average for so many slots, and what the target's own last report says beyond
// that. Two things make that report noise, and then the average stands:
//
//   - Age. The requests that it counted have ended after about the typical time
//     of one, so at that age it counts half. An estimate that fell to zero
//     instead would send requests to whichever target has the oldest report.
//   - Chance. Counts of independent requests differ by about the root of
//     their mean. To follow differences below twice that is worse than to go by the
//     node's own requests in flight, which are exact.
func (t *Target) others(now time.Duration) float64 {
	usual := t.shared.busyShare() * float64(max(t.Slots, 1))
	others, age, known := t.Stat.reported(now)
	if !known {
		return usual
	}
	life := float64(max(t.shared.typical.Load(), 1))
	beyond := (others - usual) * life / (life + float64(age))
	if beyond*beyond <= chance*chance*usual {
		return usual
	}
	return usual + beyond
}

// othersAtLeast estimates the same without the rest of the service, for a
// comparison with other regions, whose targets report seldom and are as a rule
// less busy than those of a region that is full.
func (t *Target) othersAtLeast(now time.Duration) float64 {
	others, age, _ := t.Stat.reported(now)
	return others * float64(loadHalf) / float64(loadHalf+age)
}

// busyShare is the average of what reports say of other nodes' requests, for each slot.
func (s *Shared) busyShare() float64 { return math.Float64frombits(s.busy.Load()) }

// learnBusy takes what a report says of other nodes' requests, for each slot.
func (s *Shared) learnBusy(share float64) {
	old := s.busyShare()
	s.busy.Store(math.Float64bits(old + (share-old)/sharedWeight))
}
