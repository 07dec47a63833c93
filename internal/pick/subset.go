package pick

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// minNear is the fewest targets of the own region an entry uses: two to
	// choose between and one to go on to.
	minNear = 3
	// maxNear bounds the targets that one choice looks at.
	maxNear = 24
	// minFar and maxFar are the same for all other regions together.
	minFar = 2
	maxFar = 8
	// nearShare and farShare are the parts of all connections, in percent, that
	// entries of the own region and of the others may fill.
	nearShare = 80
	farShare  = 20
)

// Subset gives the targets that the node at here sends to, nearest first, and
// how many of them are in its own region. Every node draws its own subset by
// rendezvous hashing, so that each target hears from about as many entries as
// it accepts connections, and a target that comes or goes changes few subsets.
// Within the region the own zone's targets come first in the result, but are drawn like
// the others: an entry that knew its own zone only could not leave it.
func Subset(here Place, targets []*Target, entries int) (subset []*Target, inRegion int) {
	var near, away []*Target
	connections := 0
	for _, t := range targets {
		connections += t.Connections
		if t.Distance < OtherRegion {
			near = append(near, t)
		} else {
			away = append(away, t)
		}
	}
	near = draw(here, near, clamp(connections*nearShare/100, entries, minNear, maxNear))
	slices.SortStableFunc(near, func(a, b *Target) int { return cmp.Compare(a.Distance, b.Distance) })
	away = draw(here, away, clamp(connections*farShare/100, entries, minFar, maxFar))
	return append(near, away...), len(near)
}

// clamp gives how many targets each of the entries may keep a connection to.
func clamp(connections, entries, low, high int) int {
	return min(max(connections/max(entries, 1), low), high)
}

// draw takes the n targets with the highest hashes, one of the own zone among
// them if there is any.
func draw(here Place, targets []*Target, n int) []*Target {
	if len(targets) <= n {
		return targets
	}
	sorted := slices.Clone(targets)
	slices.SortFunc(sorted, func(a, b *Target) int {
		return cmp.Compare(weight(here, b), weight(here, a))
	})
	home := slices.IndexFunc(sorted, func(t *Target) bool { return t.Distance <= SameZone })
	if home >= n {
		sorted[n-1] = sorted[home]
	}
	return sorted[:n]
}

func weight(here Place, t *Target) uint64 {
	return xxhash.Sum64String(here.VM + "\x00" + t.Place.VM)
}
