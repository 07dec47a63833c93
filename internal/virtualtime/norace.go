//go:build !race

package virtualtime

// limitProcessors does nothing, as only the race detector needs it.
func limitProcessors() (restore func()) { return func() {} }
