package slowness_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetdock/limpetdock/internal/mesh/slowness"
)

// add adds n samples at now.
func add(t *slowness.Tracker, now time.Duration, n int, ratio float64) {
	for range n {
		t.Add(now, ratio)
	}
}

// Guards against a slowness that is taken from too few requests, from outliers or from old ones.
func TestFactorIsTheMedianOfEnoughSamples(t *testing.T) {
	x := &slowness.Tracker{}
	add(x, 0, 5, 4)
	require.InDelta(t, 1, x.Factor(0), 0, "five samples are too few")
	x.Add(0, 9)
	require.InDelta(t, 4, x.Factor(0), 0)
	add(x, time.Second, 8, 1)
	require.InDelta(t, 1, x.Factor(time.Second), 0, "most are ordinary")
	add(x, 2*time.Second, 16, 1.5)
	require.InDelta(t, 1, x.Factor(2*time.Second), 0)
	add(x, 3*time.Second, 9, 90)
	require.InDelta(t, 16, x.Factor(3*time.Second), 0)
	add(x, 9*time.Second, 6, 2)
	require.InDelta(t, 2, x.Factor(9*time.Second), 0, "samples of more than 5 s ago don't count")
}

// Guards against a healthy server that is held to be slow because its service times vary widely: nine
// of sixteen requests took twice as long, and seven less than expected.
func TestWidelyVaryingTimesAreNotSlow(t *testing.T) {
	x := &slowness.Tracker{}
	add(x, 0, 7, 0.7)
	add(x, 0, 9, 2)
	require.InDelta(t, 1, x.Factor(0), 0)
	add(x, 0, 4, 2)
	require.InDelta(t, 2, x.Factor(0), 0)
}

// Guards against a recovered server that gets no requests which would show it, and against many log
// lines about a server near the threshold.
func TestSlownessDecaysAndEndsBelowTheThreshold(t *testing.T) {
	x := &slowness.Tracker{}
	add(x, time.Second, 6, 8)
	require.InDelta(t, 8, x.Factor(6*time.Second), 0)
	require.InDelta(t, 4, x.Factor(7*time.Second), 0.001)
	add(x, 7*time.Second, 3, 8)
	require.InDelta(t, 2, x.Factor(8*time.Second), 0.001, "three samples don't stop the decay")
	require.InDelta(t, 1, x.Factor(9*time.Second), 0)
	require.False(t, x.Slow(9*time.Second))
	add(x, 20*time.Second, 16, 1.6)
	require.True(t, x.Slow(20*time.Second))
	add(x, 21*time.Second, 16, 1.4)
	require.True(t, x.Slow(21*time.Second))
	add(x, 22*time.Second, 16, 1.2)
	require.False(t, x.Slow(22*time.Second))
	add(x, 23*time.Second, 16, 1.4)
	require.False(t, x.Slow(23*time.Second))
}

func BenchmarkAdd(b *testing.B) {
	x := &slowness.Tracker{}
	for i := range b.N {
		now := time.Duration(i) * time.Millisecond
		x.Add(now, float64(i*7919%100))
		_ = x.Factor(now)
	}
}
