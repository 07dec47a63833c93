package pick

import (
	"math"
	"time"
)

// reportHalfAge is the age at which a load report counts half when regions are
// compared.
const reportHalfAge = 100 * time.Millisecond

// noiseDeviations is the number of standard deviations of a count that are treated
// as noise.
const noiseDeviations = 2

// timeBits is the number of bits of a load word that hold the time in microseconds,
// enough for eight years. The rest holds the number of requests.
const timeBits = 48

// loadOf packs a report's number of requests of other nodes, and the time of the
// report, into one word, so that a choice reads both atomically without a pointer.
func loadOf(r Report) uint64 {
	others := min(max(r.Running+r.Waiting-r.own, 0), 1<<(64-timeBits)-1)
	return uint64(others)<<timeBits | uint64(r.At.Microseconds())
}

// reported returns the requests of other nodes in the last report, and its age.
// known is false before the first report.
func (s *Stat) reported(now time.Duration) (others float64, age time.Duration, known bool) {
	load := s.load.Load()
	at := time.Duration(load&(1<<timeBits-1)) * time.Microsecond
	return float64(load >> timeBits), max(now-at, 0), load != 0
}

// others estimates the requests of other nodes at the target, for a comparison with
// targets of the same region. The estimate is the average of all reports of the
// service for the target's slots, corrected by the deviation of the target's own
// last report. The correction is limited for two reasons:
//
//   - Age. The requests that a report counted have ended after about the typical
//     time of a request, so at that age the deviation counts half. An estimate that
//     decayed to zero would send requests to the target with the oldest report.
//   - Random variation. Counts of independent requests vary by about the square root
//     of their mean. Deviations below twice that are ignored: following them is worse
//     than comparing the node's own requests in flight, which are exact.
func (t *Target) others(now time.Duration) float64 {
	usual := t.shared.busyShare() * float64(max(t.Slots, 1))
	others, age, known := t.Stat.reported(now)
	if !known {
		return usual
	}
	life := float64(max(t.shared.typical.Load(), 1))
	beyond := (others - usual) * life / (life + float64(age))
	if beyond*beyond <= noiseDeviations*noiseDeviations*usual {
		return usual
	}
	return usual + beyond
}

// othersAtLeast estimates the same from the target's own report alone, for a
// comparison with other regions. Their targets report rarely, and are usually less
// loaded than those of a region that is full.
func (t *Target) othersAtLeast(now time.Duration) float64 {
	others, age, _ := t.Stat.reported(now)
	return others * float64(reportHalfAge) / float64(reportHalfAge+age)
}

// busyShare returns the average number of requests of other nodes for each slot, by
// all reports.
func (s *Shared) busyShare() float64 { return math.Float64frombits(s.busy.Load()) }

// recordBusy adds a report's number of requests of other nodes for each slot to the
// average.
func (s *Shared) recordBusy(share float64) {
	old := s.busyShare()
	s.busy.Store(math.Float64bits(old + (share-old)/sharedWeight))
}
