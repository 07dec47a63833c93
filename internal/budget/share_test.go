package budget_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetdock/limpetdock/internal/budget"
)

// Guards against nodes that take the share of all others as they don't know them yet.
func TestShareBeginsOnceNodesAreKnown(t *testing.T) {
	s := budget.NewShare(60, 10*time.Second)
	require.Zero(t, s.At(time.Hour), "no node is known")
	s.SetNodes(1, time.Second)
	require.Zero(t, s.At(10*time.Second))
	s.SetNodes(15, 10*time.Second)
	require.Zero(t, s.At(19*time.Second))
	require.InDelta(t, 2, s.At(20*time.Second), 0)
}

// Guards against a share that begins anew with each node that joins, or grows with each that leaves.
func TestShareFollowsSmallChanges(t *testing.T) {
	s := budget.NewShare(60, 10*time.Second)
	s.SetNodes(15, 0)
	s.SetNodes(16, 10*time.Second)
	require.InDelta(t, 60.0/32, s.At(10*time.Second), 1e-9)
	s.SetNodes(5, 11*time.Second)
	s.SetNodes(6, 12*time.Second)
	require.InDelta(t, 60.0/32, s.At(21*time.Second), 1e-9, "the others may make repeats though they are unknown")
	require.InDelta(t, 5, s.At(22*time.Second), 0)
}

// Guards against nodes that take a new share each time that they are started.
func TestShareOfRestartedNodesStaysWithinTotal(t *testing.T) {
	const nodes, total, window = 18, 56, 10 * time.Second
	granted := 0.0
	for range nodes {
		var last float64
		for age := window; age > 0; age -= 2 * time.Second {
			s := budget.NewShare(total, window)
			s.SetNodes(nodes, 0)
			last = s.At(age)
			granted += last
		}
	}
	require.LessOrEqual(t, granted, float64(total))
}
