// Package virtualtime runs tests in virtual time (testing/synctest), with the race detector too. Tests of a
// single guard use synctest itself: their goroutines call each other without a pause, which is slow on one processor.
package virtualtime

import (
	"testing"
	"testing/synctest"
)

// Test runs a test in a synctest bubble. With the race detector, the whole process has one processor
// meanwhile. Tests in bubbles must not run in parallel with each other.
func Test(t *testing.T, test func(*testing.T)) {
	t.Helper()
	defer limitProcessors()()
	synctest.Test(t, test)
}
