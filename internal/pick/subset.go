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
	// size counts the entries of each region.
	size map[string]int
}

type entry struct {
	Place
	hash uint64
}

// NewEntries returns the entries that stand on VMs, in any order.
func NewEntries(on []Place) *Entries {
	e := &Entries{all: make([]entry, 0, len(on)), size: map[string]int{}}
	for _, p := range on {
		e.all = append(e.all, entry{p, xxhash.Sum64String(p.VM)})
		e.size[p.Region]++
	}
	// Those who draw late find some targets full. The order is by hash, so that
	// they are spread over all zones.
	slices.SortFunc(e.all, func(a, b entry) int {
		return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.VM, b.VM))
	})
	return e
}

// Equal says whether both are the same VMs at the same places.
func (e *Entries) Equal(other *Entries) bool { return slices.Equal(e.all, other.all) }

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
	return append(slices.Clone(e.all), entry{here, xxhash.Sum64String(here.VM)}), len(e.all)
}

// draw is one service's draw by all entries.
type draw struct {
	entries *Entries
	rows    []drawn
	// connections are those declared, in all and by region.
	connections int
	inRegion    map[string]int
	weights     []uint64
}

// drawn is a target with the number of entries that use it.
type drawn struct {
	Place
	hash        uint64
	connections int
	users       int
}

func newDraw(e *Entries, targets []*Target) *draw {
	d := &draw{entries: e, inRegion: map[string]int{}, weights: make([]uint64, len(targets))}
	for _, t := range targets {
		d.rows = append(d.rows, drawn{Place: t.Place, hash: xxhash.Sum64String(t.Place.VM), connections: t.Connections})
		d.connections += t.Connections
		d.inRegion[t.Region] += t.Connections
	}
	return d
}

// drawnBy is what one entry got: indexes of targets of its own region and of others.
type drawnBy struct{ near, away []int }

// run lets each of the entries draw in its own region, and then each elsewhere.
func (d *draw) run(all []entry) []drawnBy {
	out := make([]drawnBy, len(all))
	regions := map[string]drawnBy{}
	for i, e := range all {
		r, known := regions[e.Region]
		if !known {
			r = d.split(e.Region)
			regions[e.Region] = r
		}
		out[i].near = d.take(e, r.near, d.near(e.Region), nearRoom)
	}
	for i, e := range all {
		out[i].away = d.take(e, regions[e.Region].away, d.far(len(out[i].near)), allRoom)
	}
	return out
}

// split gives the targets of a region and those of all others.
func (d *draw) split(region string) (s drawnBy) {
	for i, t := range d.rows {
		if t.Region == region {
			s.near = append(s.near, i)
		} else {
			s.away = append(s.away, i)
		}
	}
	return s
}

// near and far give how many targets an entry takes in its own region and elsewhere.
func (d *draw) near(region string) int {
	return clamp(d.inRegion[region]*nearShare/percent, d.entries.size[region], minNear, maxNear)
}

func (d *draw) far(near int) int {
	n := clamp(d.connections*farShare/percent, len(d.entries.all), minFar, maxFar)
	return max(n, minNear-near)
}

// clamp gives how many targets each of the entries may keep a connection to.
func clamp(connections, entries, low, high int) int {
	return min(max(connections/max(entries, 1), low), high)
}

// take draws n of the targets for an entry.
func (d *draw) take(e entry, among []int, n, room int) []int {
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
		next := d.best(e, among, taken, room)
		d.rows[next].users++
		taken = append(taken, next)
	}
	return taken
}

// best gives the target that an entry takes next: one with room, if there is
// any; the first in its own zone and the second in another, if there are any; of
// these the one with the highest hash. When all are full, the one with the fewest users.
func (d *draw) best(e entry, among, taken []int, room int) int {
	best, rank := -1, -1
	for _, i := range among {
		if slices.Contains(taken, i) {
			continue
		}
		r := d.rank(e, i, taken, room)
		if r > rank || r == rank && d.prefers(i, best, r) {
			best, rank = i, r
		}
	}
	return best
}

// The ranks of a target in a draw, whatever its hash. Full ones have users for
// allRoom, crowded ones for the room of this draw. apart is a crowded one in
// another zone than the first; wanted has room and stands where it should.
const (
	full = iota
	crowded
	roomy
	apart
	wanted
)

func (d *draw) rank(e entry, i int, taken []int, room int) int {
	t := &d.rows[i]
	used := t.users * percent
	fits := used < t.connections*room
	other := len(taken) == 1 && t.Zone != d.rows[taken[0]].Zone
	switch {
	case used >= t.connections*allRoom:
		return full
	case fits && (other || len(taken) == 0 && t.Zone == e.Zone):
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
