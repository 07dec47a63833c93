package node

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/limpetdock/limpetdock/internal/gate"
)

// Guards against starts of low priorities that no metric counts.
func TestStartsOfLowPrioritiesCountWithTheLastLabel(t *testing.T) {
	s := gate.Schedule{Ranks: []gate.RankState{{Nested: true, Priority: 3, Starts: 1}, {Priority: 2, Starts: 2}, {Priority: 3, Starts: 4}, {Priority: 9, Starts: 8}}}
	require.EqualValues(t, 1, startsOf(s, true, 3))
	require.EqualValues(t, 2, startsOf(s, false, 2))
	require.EqualValues(t, 12, startsOf(s, false, 3))
}
