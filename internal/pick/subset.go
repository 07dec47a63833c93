package pick

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// minNear is the fewest targets of the own region an entry uses: one in its
	// own zone if there is one, and one in another zone, so that a lost zone
	// leaves it with a target at home.
	minNear = 2
	// maxNear bounds the targets that one choice looks at.
	maxNear = 24
	// minFar and maxFar are the same for all other regions together.
	minFar = 1
	maxFar = 8
	// nearShare and farShare are the parts of the declared connections, in percent,
	// that the number of targets drawn by entries of the own region and of the
	// others may fill on average. What is left is room for uneven draws and for
	// entries that are about to change their subsets.
	nearShare = 60
	farShare  = 30
	// nearRoom and allRoom are the parts, in percent, up to which a target is drawn
	// by entries of its own region and by all as long as another one has room.
	nearRoom = 70
	allRoom  = 95
	percent  = 100
)

// Entries are the entries of a fleet as a configuration declares them, in the
// order in which they draw. It is immutable.
type Entries struct {
	all []entry
	// zones and regions number the names, which are compared often.
	zones, regions map[string]int
	// size counts the entries of each region.
	size []int
}

type entry struct {
	Place
	hash         uint64
	zone, region int
}

// NewEntries returns the entries that stand on VMs, in any order.
func NewEntries(on []Place) *Entries {
	e := &Entries{all: make([]entry, 0, len(on)), zones: map[string]int{}, regions: map[string]int{}}
	for _, p := range on {
		number(e.zones, p.Zone)
		if number(e.regions, p.Region) == len(e.size) {
			e.size = append(e.size, 0)
		}
		one := e.entry(p)
		e.all = append(e.all, one)
		e.size[one.region]++
	}
	// Those who draw late find some targets full. The order is by hash, so that
	// they are spread over all zones.
	slices.SortFunc(e.all, func(a, b entry) int {
		return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.VM, b.VM))
	})
	return e
}

func number(numbers map[string]int, name string) int {
	if _, known := numbers[name]; !known {
		numbers[name] = len(numbers)
	}
	return numbers[name]
}

// elsewhere numbers zones and regions in which no entry is declared.
const elsewhere = -1

func (e *Entries) entry(p Place) entry {
	one := entry{Place: p, hash: xxhash.Sum64String(p.VM), zone: elsewhere, region: elsewhere}
	if n, known := e.zones[p.Zone]; known {
		one.zone = n
	}
	if n, known := e.regions[p.Region]; known {
		one.region = n
	}
	return one
}

// Equal says whether both are the same VMs at the same places.
func (e *Entries) Equal(other *Entries) bool {
	return slices.EqualFunc(e.all, other.all, func(a, b entry) bool { return a.Place == b.Place })
}

// Subset gives which of the targets, by their indexes, the node at here sends
// to: those of its own region nearest first, then inRegion says how many they are,
// then others.
//
// Every node works out the draws of all entries from the configuration alone, so
// all agree on who uses which target without a message. An entry takes the
// targets with the highest hashes (rendezvous hashing) that have room: a target
// accepts about 200 connections, and independent draws would leave some of 890
// far above the mean. This is consistent hashing with bounded loads (Mirrokni,
// Thorup and Zadimoghaddam, 2018); a target that comes or goes changes few subsets.
func (e *Entries) Subset(here Place, targets []*Target) (subset []int, inRegion int) {
	all, mine := e.with(here)
	got := newDraw(e, targets).run(all)[mine]
	slices.SortStableFunc(got.near, func(a, b int) int {
		return cmp.Compare(here.DistanceTo(targets[a].Place), here.DistanceTo(targets[b].Place))
	})
	return append(got.near, got.away...), len(got.near)
}

// with gives all entries and which of them is the one at here. One that isn't
// declared draws last.
func (e *Entries) with(here Place) (all []entry, mine int) {
	mine = slices.IndexFunc(e.all, func(one entry) bool { return one.VM == here.VM })
	if mine >= 0 {
		return e.all, mine
	}
	return append(slices.Clone(e.all), e.entry(here)), len(e.all)
}

// draw is one service's draw by all entries.
type draw struct {
	entries *Entries
	rows    []drawn
	// connections are those declared.
	connections int
	weights     []uint64
}

// drawn is a target with the number of entries that use it.
type drawn struct {
	entry
	connections int
	users       int
	// nearRoom and allRoom are the users up to which there is room.
	nearRoom, allRoom int
}

func newDraw(e *Entries, targets []*Target) *draw {
	d := &draw{entries: e, weights: make([]uint64, len(targets))}
	for _, t := range targets {
		d.rows = append(d.rows, drawn{
			entry: e.entry(t.Place), connections: t.Connections,
			nearRoom: t.Connections * nearRoom / percent, allRoom: t.Connections * allRoom / percent,
		})
		d.connections += t.Connections
	}
	return d
}

// drawnBy is what one entry got: indexes of targets of its own region and of others.
type drawnBy struct{ near, away []int }

// side is what entries of one region draw from, and how many of each.
type side struct {
	drawnBy
	nearCount, awayCount int
}

// run lets each of the entries draw in its own region, and then each elsewhere.
func (d *draw) run(all []entry) []drawnBy {
	out := make([]drawnBy, len(all))
	sides := map[int]*side{elsewhere: d.side(elsewhere)}
	for region := range d.entries.size {
		sides[region] = d.side(region)
	}
	for i := range all {
		s := sides[all[i].region]
		out[i].near = d.take(&all[i], s.near, s.nearCount, false)
	}
	for i := range all {
		s := sides[all[i].region]
		out[i].away = d.take(&all[i], s.away, s.awayCount, true)
	}
	return out
}

// side gives what entries of a region draw from.
func (d *draw) side(region int) *side {
	s, connections, entries := &side{}, 0, 0
	for i, t := range d.rows {
		if t.region == region {
			s.near = append(s.near, i)
			connections += t.connections
		} else {
			s.away = append(s.away, i)
		}
	}
	if region != elsewhere {
		entries = d.entries.size[region]
	}
	s.nearCount = clamp(connections*nearShare/percent, entries, minNear, maxNear)
	s.awayCount = clamp(d.connections*farShare/percent, len(d.entries.all), minFar, maxFar)
	s.awayCount = max(s.awayCount, minNear-len(s.near))
	return s
}

// clamp gives how many targets each of the entries may keep a connection to.
func clamp(connections, entries, low, high int) int {
	return min(max(connections/max(entries, 1), low), high)
}

// take draws n of the targets for an entry.
func (d *draw) take(e *entry, among []int, n int, away bool) []int {
	if len(among) <= n {
		for _, i := range among {
			d.rows[i].users++
		}
		return slices.Clone(among)
	}
	for _, i := range among {
		d.weights[i] = weight(e.hash, d.rows[i].hash)
	}
	taken := make([]int, 0, n)
	for len(taken) < n {
		next := d.best(e, among, taken, away)
		d.rows[next].users++
		taken = append(taken, next)
	}
	return taken
}

// best gives the target that an entry takes next: one with room, if there is
// any; the first in its own zone and the second in another, if there are any; of
// these the one with the highest hash. When all are full, the one with the fewest users.
func (d *draw) best(e *entry, among, taken []int, away bool) int {
	best, rank := -1, -1
	for _, i := range among {
		if slices.Contains(taken, i) {
			continue
		}
		r := d.rank(e, &d.rows[i], taken, away)
		if r > rank || r == rank && d.prefers(i, best, r) {
			best, rank = i, r
		}
	}
	return best
}

// The ranks of a target in a draw, whatever its hash. Full ones have users for
// allRoom, crowded ones for nearRoom while entries draw near ones. apart is a
// crowded one in another zone than the first; wanted has room and stands where it should.
const (
	full = iota
	crowded
	roomy
	apart
	wanted
)

func (d *draw) rank(e *entry, t *drawn, taken []int, away bool) int {
	fits := away || t.users < t.nearRoom
	other := len(taken) == 1 && t.zone != d.rows[taken[0]].zone
	switch {
	case t.users >= t.allRoom:
		return full
	case fits && (other || len(taken) == 0 && t.zone == e.zone):
		return wanted
	case other:
		return apart
	case fits:
		return roomy
	}
	return crowded
}

// prefers compares two targets of one rank.
func (d *draw) prefers(i, other, rank int) bool {
	a, b := &d.rows[i], &d.rows[other]
	if rank <= crowded && a.users*b.connections != b.users*a.connections {
		return a.users*b.connections < b.users*a.connections
	}
	return d.weights[i] > d.weights[other]
}

// weight mixes two hashes (the finalizer of splitmix64).
func weight(entry, target uint64) uint64 {
	x := entry ^ target*0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
