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
	// far is how many targets an entry keeps in all other regions together.
	farTargets = 4
	// connectionShare is the part of a target's connections, in percent, that
	// subsets fill; the rest is for retries and changes under way.
	connectionShare = 80
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
	near = draw(here, near, nearSize(connections, entries))
	slices.SortStableFunc(near, func(a, b *Target) int { return cmp.Compare(a.Distance, b.Distance) })
	away = draw(here, away, farTargets)
	return append(near, away...), len(near)
}

// nearSize is how many targets each of the entries may keep a connection to.
func nearSize(connections, entries int) int {
	if entries == 0 {
		return minNear
	}
	return min(max(connections*connectionShare/100/entries, minNear), maxNear)
}

// draw takes the n targets with the highest hashes, those in the own zone
// and outside of it in turn, so that each kind is there if it can be.
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
