package entry

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"gonum.org/v1/gonum/stat/distuv"

	"github.com/limpetdock/limpetdock/internal/mesh"
	"github.com/limpetdock/limpetdock/internal/place"
)

const (
	// assumedAnswer is the size of an answer where none was seen, in bytes.
	assumedAnswer = 2 << 10
	// envelope is what the frames and TCP add to a request and its answer, in bytes.
	envelope = 600
	// failureCost is what a request that surely fails is taken to cost: over the
	// longest wait that is worth it, so that failing fast never looks cheap.
	failureCost = 1500 * time.Millisecond
	// lateCost is what an answer that is surely late is taken to cost: nearly as much as
	// none.
	lateCost = failureCost * 9 / 10
	// workSpread is the deviation of the logarithm of how long a request takes from what
	// is expected.
	workSpread = 0.35
	// crowding is the part of a slot's time that a full target adds beside waits:
	// among targets with free slots the emptier one is better, as what it gets next
	// is less likely to wait.
	crowding = 0.15
	// jitter spreads nodes that see the same loads over targets that are equally good.
	jitter = 3 * time.Millisecond
)

// wayTo is the round trip to each distance, on the usual links between zones and
// regions; the price of bytes matters more than its exact value.
var wayTo = [...]time.Duration{
	place.SameVM: 0, place.SameZone: 300 * time.Microsecond,
	place.SameRegion: 3 * time.Millisecond, place.OtherRegion: 16 * time.Millisecond,
}

// candidate is a target with what a request is expected to cost there.
type candidate struct {
	target *mesh.Target
	// cost orders candidates: time, and bytes and risks as time.
	cost time.Duration
	// wait is the time until it gets a slot: the forecast's, or longer where the target
	// refused the request for that.
	wait     time.Duration
	forecast mesh.Forecast
}

// routeStat is what was seen of a route's requests. Safe for concurrent use.
type routeStat struct {
	mu sync.Mutex
	// answer is a moving average of answers' sizes in bytes, work one of the time
	// that an idle target takes for them, in nanoseconds; seen counts them.
	answer, work float64
	seen         int
}

// statWeight is the inverse weight of a new sample in the moving averages.
const statWeight = 16

func (s *routeStat) learn(bytes int, work time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.seen++
	weight := float64(min(s.seen, statWeight))
	s.answer += (float64(bytes) - s.answer) / weight
	s.work += (float64(work) - s.work) / weight
}

func (s *routeStat) expect() (bytes float64, work time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.seen == 0 {
		return assumedAnswer, 0
	}
	return s.answer, time.Duration(s.work)
}

func (e *Entry) routeStat(name string) *routeStat {
	s, _ := e.routes.LoadOrStore(name, &routeStat{})
	return s.(*routeStat)
}

// candidates gives the targets that the request may be offered to, cheapest first.
func (t *trip) candidates() []candidate {
	all := t.view.Targets[t.service]
	bytes, work := t.stat.expect()
	work = cmp.Or(work, t.route.AssumedWork())
	list := make([]candidate, 0, len(all))
	var avoided []candidate
	for _, target := range all {
		if t.tried(target) {
			continue
		}
		c, usable := t.weigh(target, int(bytes), work)
		if usable {
			list = append(list, c)
		} else {
			avoided = append(avoided, c)
		}
	}
	if len(list) == 0 {
		// One more try beats a certain refusal.
		list = avoided
	}
	slices.SortFunc(list, func(a, b candidate) int { return cmp.Compare(a.cost, b.cost) })
	return list
}

// tried says whether the request may have run at the target already.
func (t *trip) tried(target *mesh.Target) bool {
	return slices.ContainsFunc(t.offers, func(o offer) bool {
		return o.target.ID == target.ID && !refusedBusy(o.kind)
	})
}

// weigh estimates what the request costs at a target whose answer has so many bytes
// and takes so much work, and whether the target is usable.
func (t *trip) weigh(target *mesh.Target, bytes int, work time.Duration) (candidate, bool) {
	now := t.entry.Now()
	if target.Distance == place.SameVM {
		target.Stat.Report(t.entry.Guard.Load(), now)
	}
	f := target.Forecast(work, now)
	c := candidate{target: target, wait: f.Wait, forecast: f}
	if wait, refused := t.refusals[target.ID]; refused {
		c.wait = max(c.wait, wait)
	}
	slots := max(f.Slots, target.Slots, 1)
	c.cost = wayTo[target.Distance] + c.wait + f.Work +
		t.risk(f, now+wayTo[target.Distance]) +
		time.Duration(crowding*float64(f.Work)*float64(f.Busy)/float64(slots)) +
		time.Duration(f.Failing*float64(failureCost)) +
		t.entry.prices.Load().of(target.Distance, len(t.in.Body)+bytes+envelope) +
		rand.N(jitter)
	return c, !f.Avoid && !f.Leaving
}

// risk gives what the chances cost that a request sent now is answered late, or not at all.
func (t *trip) risk(f mesh.Forecast, now time.Duration) time.Duration {
	late := lateChance(f, t.aim-now)
	none := lateChance(f, t.deadline-now)
	return time.Duration(late*float64(lateCost) + none*float64(failureCost-lateCost))
}

// lateChance gives the chance that a request is answered later than so much time from now.
func lateChance(f mesh.Forecast, aimLeft time.Duration) float64 {
	room := aimLeft - f.Wait
	if room <= 0 {
		return 1
	}
	return distuv.LogNormal{Sigma: workSpread}.Survival(float64(room) / float64(f.Work))
}

// of gives the price of bytes to a distance, as time.
func (p Prices) of(d place.Distance, bytes int) time.Duration {
	const kilobyte = 1000
	switch d {
	case place.SameRegion:
		return p.ZonePerKB * time.Duration(bytes) / kilobyte
	case place.OtherRegion:
		return p.RegionPerKB * time.Duration(bytes) / kilobyte
	}
	return 0
}
