package pick

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// minNear is the least number of targets of the own region that an entry uses:
	// one in its own zone if there is one, and one in another zone, so that it still
	// has a target in the region after the loss of a zone.
	minNear = 2
	// maxNear bounds the targets of the own region that one choice compares.
	maxNear = 24
	// minFar and maxFar are the same bounds for all other regions together.
	minFar = 1
	maxFar = 8
	// nearShare and farShare are the shares of the declared connections, in percent,
	// that entries of the own region and of other regions use on average. The rest is
	// headroom for an uneven assignment and for entries whose subsets are changing.
	nearShare = 60
	farShare  = 30
	// nearRoom and allRoom are the shares of a target's connections, in percent, up to
	// which it is assigned to entries of its own region, and to all entries, as long
	// as another target has capacity.
	nearRoom = 70
	allRoom  = 95
	percent  = 100
)

// Entries holds the entries of a fleet as declared by a configuration, in the order
// in which targets are assigned to them. It is immutable.
type Entries struct {
	all []entry
	// zones and regions map names to numbers, which are faster to compare.
	zones, regions map[string]int
	// size is the number of entries of each region.
	size []int
}

type entry struct {
	Place
	hash         uint64
	zone, region int
}

// NewEntries returns the entries on the given VMs, which may be in any order.
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
	// Entries late in the order find some targets full. Ordering by hash spreads them
	// over all zones.
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

// undeclared is used as the number of a zone or region without a declared entry.
const undeclared = -1

func (e *Entries) entry(p Place) entry {
	one := entry{Place: p, hash: xxhash.Sum64String(p.VM), zone: undeclared, region: undeclared}
	if n, known := e.zones[p.Zone]; known {
		one.zone = n
	}
	if n, known := e.regions[p.Region]; known {
		one.region = n
	}
	return one
}

// Equal reports whether both hold the same VMs in the same zones and regions.
func (e *Entries) Equal(other *Entries) bool {
	return slices.EqualFunc(e.all, other.all, func(a, b entry) bool { return a.Place == b.Place })
}

// Subset returns the indexes of the targets that the node at here sends to: those of
// its own region, nearest first, then others. inRegion is the number of targets of the
// own region.
//
// Every node computes the assignment for all entries from the configuration alone, so
// all nodes agree on it without communication. An entry is assigned the targets with
// the highest hashes (rendezvous hashing) that have capacity. A target accepts about
// 200 connections, and independent choices would put some of 890 targets far above the
// mean. This is consistent hashing with bounded loads (Mirrokni, Thorup and
// Zadimoghaddam, 2018): adding or removing a target changes few subsets.
func (e *Entries) Subset(here Place, targets []*Target) (subset []int, inRegion int) {
	all, own := e.with(here)
	result := newAssignment(e, targets).run(all)[own]
	slices.SortStableFunc(result.near, func(a, b int) int {
		return cmp.Compare(here.DistanceTo(targets[a].Place), here.DistanceTo(targets[b].Place))
	})
	return append(result.near, result.far...), len(result.near)
}

// with returns all entries and the index of the one at here. An undeclared entry is
// added as the last one.
func (e *Entries) with(here Place) (all []entry, own int) {
	own = slices.IndexFunc(e.all, func(one entry) bool { return one.VM == here.VM })
	if own >= 0 {
		return e.all, own
	}
	return append(slices.Clone(e.all), e.entry(here)), len(e.all)
}

// assignment assigns one service's targets to all entries.
type assignment struct {
	entries *Entries
	rows    []candidate
	// connections is the number of declared connections of all targets.
	connections int
	weights     []uint64
}

// candidate is a target with the number of entries that use it.
type candidate struct {
	entry
	connections int
	users       int
	// nearRoom and allRoom are the numbers of users up to which there is capacity.
	nearRoom, allRoom int
}

func newAssignment(e *Entries, targets []*Target) *assignment {
	d := &assignment{entries: e, weights: make([]uint64, len(targets))}
	for _, t := range targets {
		d.rows = append(d.rows, candidate{
			entry: e.entry(t.Place), connections: t.Connections,
			nearRoom: t.Connections * nearRoom / percent, allRoom: t.Connections * allRoom / percent,
		})
		d.connections += t.Connections
	}
	return d
}

// assigned holds the indexes of one entry's targets, of its own region and of others.
type assigned struct{ near, far []int }

// pool holds the targets available to entries of one region, and how many of them
// each entry is assigned.
type pool struct {
	assigned
	nearCount, farCount int
}

// run assigns targets of the own region to each of the entries, then targets of
// other regions.
func (d *assignment) run(all []entry) []assigned {
	out := make([]assigned, len(all))
	pools := map[int]*pool{undeclared: d.pool(undeclared)}
	for region := range d.entries.size {
		pools[region] = d.pool(region)
	}
	for i := range all {
		s := pools[all[i].region]
		out[i].near = d.assign(&all[i], s.near, s.nearCount, false)
	}
	for i := range all {
		s := pools[all[i].region]
		out[i].far = d.assign(&all[i], s.far, s.farCount, true)
	}
	return out
}

// pool returns the targets available to entries of a region.
func (d *assignment) pool(region int) *pool {
	s, connections, entries := &pool{}, 0, 0
	for i, t := range d.rows {
		if t.region == region {
			s.near = append(s.near, i)
			connections += t.connections
		} else {
			s.far = append(s.far, i)
		}
	}
	if region != undeclared {
		entries = d.entries.size[region]
	}
	s.nearCount = clamp(connections*nearShare/percent, entries, minNear, maxNear)
	s.farCount = clamp(d.connections*farShare/percent, len(d.entries.all), minFar, maxFar)
	s.farCount = max(s.farCount, minNear-len(s.near))
	return s
}

// clamp returns how many targets each of the entries may keep a connection to.
func clamp(connections, entries, low, high int) int {
	return min(max(connections/max(entries, 1), low), high)
}

// assign assigns n of the targets to an entry.
func (d *assignment) assign(e *entry, among []int, n int, far bool) []int {
	if len(among) <= n {
		for _, i := range among {
			d.rows[i].users++
		}
		return slices.Clone(among)
	}
	for _, i := range among {
		d.weights[i] = weight(e.hash, d.rows[i].hash)
	}
	chosen := make([]int, 0, n)
	for len(chosen) < n {
		next := d.best(e, among, chosen, far)
		d.rows[next].users++
		chosen = append(chosen, next)
	}
	return chosen
}

// best returns the next target of an entry: one with capacity if there is one; the
// first in the entry's own zone and the second in another zone if possible; of these
// the one with the highest hash. If all are full, it returns the one with the fewest
// users for its connections.
func (d *assignment) best(e *entry, among, chosen []int, far bool) int {
	best, rank := -1, -1
	for _, i := range among {
		if slices.Contains(chosen, i) {
			continue
		}
		r := d.rank(e, &d.rows[i], chosen, far)
		if r > rank || r == rank && d.prefers(i, best, r) {
			best, rank = i, r
		}
	}
	return best
}

// The ranks of a target for an entry, regardless of its hash. A full target has
// reached allRoom; a nearlyFull one has reached nearRoom, which counts only for
// entries of its own region. otherZone is a nearlyFull one in another zone than the
// first target; a hasRoom one has capacity but is in neither zone that is preferred. A
// preferred one has capacity, and is in the entry's zone if it is the first target, else
// in another zone than the first.
const (
	full = iota
	nearlyFull
	hasRoom
	otherZone
	preferred
)

func (d *assignment) rank(e *entry, t *candidate, chosen []int, far bool) int {
	fits := far || t.users < t.nearRoom
	other := len(chosen) == 1 && t.zone != d.rows[chosen[0]].zone
	switch {
	case t.users >= t.allRoom:
		return full
	case fits && (other || len(chosen) == 0 && t.zone == e.zone):
		return preferred
	case other:
		return otherZone
	case fits:
		return hasRoom
	}
	return nearlyFull
}

// prefers reports whether target i is better than other, where both have the same rank.
func (d *assignment) prefers(i, other, rank int) bool {
	a, b := &d.rows[i], &d.rows[other]
	if rank <= nearlyFull && a.users*b.connections != b.users*a.connections {
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
