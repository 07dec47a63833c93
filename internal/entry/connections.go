package entry

import (
	"math/bits"

	"github.com/limpetdock/limpetdock/internal/pick"
)

// connectionLimits bounds the connections to each guard.
type connectionLimits struct {
	// maxIdle is how many idle connections are kept; maxOpen bounds the open ones, 0 for no
	// bound.
	maxIdle, maxOpen int
}

// defaultConnectionLimits applies until a View is in force.
var defaultConnectionLimits = connectionLimits{maxIdle: 8}

// connectionLimitsFor returns each entry's share of the connections that targets accept,
// rounded down to a power of two so that adding or removing a VM rarely changes it. maxOpen is
// at least the number of requests that can run and wait at one guard, as an entry can't use
// more connections than that.
func connectionLimitsFor(v *pick.View) connectionLimits {
	size := connectionLimits{}
	share := 0
	for _, s := range v.Services {
		accepted := 0
		for _, t := range s.Homes {
			accepted += t.Connections
			size.maxOpen = max(size.maxOpen, t.Slots+s.Queue)
		}
		users := max(v.Nodes, 1) * max(len(s.Targets), 1)
		if perEntry := accepted / users; share == 0 || perEntry < share {
			share = perEntry
		}
	}
	size.maxIdle = 1 << max(bits.Len(uint(share))-1, 0)
	size.maxOpen = max(size.maxOpen, size.maxIdle)
	return size
}
