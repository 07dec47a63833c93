package node

import (
	"os"
	"runtime/debug"
)

const (
	// gcPercent lets the heap grow to five times what is live before it is
	// collected. A node's live heap is a few megabytes, and each collection holds
	// up the calls under way, which shows in their 99th percentile.
	gcPercent = 400
	// memoryLimit is where the collector works harder whatever gcPercent says, in
	// bytes: well under the 128 MB that a node may take.
	memoryLimit = 96 << 20
)

// tuneCollector trades memory that a node may use for fewer collections. GOGC
// and GOMEMLIMIT of the environment go first.
func tuneCollector() {
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(gcPercent)
	}
	if os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(memoryLimit)
	}
}
