package node

import (
	"os"
	"runtime/debug"
)

const (
	// gcPercent lets the heap grow to five times the live heap before a collection. A
	// node's live heap is a few megabytes, and each collection delays the calls in
	// progress, which shows in their 99th percentile.
	gcPercent = 400
	// memoryLimit is the heap size, in bytes, above which the collector runs more often
	// regardless of gcPercent. It is well below the 128 MB that a node may use.
	memoryLimit = 96 << 20
)

// tuneGC configures the garbage collector to use more memory and collect less often.
// The environment variables GOGC and GOMEMLIMIT take precedence.
func tuneGC() {
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(gcPercent)
	}
	if os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(memoryLimit)
	}
}
