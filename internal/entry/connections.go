package entry

import (
	"math/bits"

	"github.com/limpetdock/limpetdock/internal/pick"
)

// connections bounds the connections to each guard.
type connections struct {
	// idle are kept open; open is the most at a time, 0 for no bound.
	idle, open int
}

// unbounded is used until a View is in force.
var unbounded = connections{idle: 8}

// connectionsOf gives each entry its share of the connections that targets
// accept, rounded to a power of two so that a VM more or less changes nothing. A guard
// never has use for more requests of one entry than run and wait there.
func connectionsOf(v *pick.View) connections {
	size := connections{}
	share := 0
	for _, s := range v.Services {
		accepted := 0
		for _, t := range s.Homes {
			accepted += t.Connections
			size.open = max(size.open, t.Slots+s.Queue)
		}
		users := max(v.Nodes, 1) * max(len(s.Targets), 1)
		if mine := accepted / users; share == 0 || mine < share {
			share = mine
		}
	}
	size.idle = 1 << max(bits.Len(uint(share))-1, 0)
	size.open = max(size.open, size.idle)
	return size
}
