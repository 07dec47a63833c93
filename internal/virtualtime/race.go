//go:build race

package virtualtime

import "runtime"

// limitProcessors leaves one processor to the process and returns a function that restores the others.
//
// All timers of a bubble share one context of the race detector. With several processors, two goroutines that
// receive from timers due at the same time use it at once, and the detector crashes. Go 1.26 has this fault.
func limitProcessors() (restore func()) {
	before := runtime.GOMAXPROCS(1)
	return func() { runtime.GOMAXPROCS(before) }
}
