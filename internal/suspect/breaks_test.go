package suspect_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetdock/limpetdock/internal/suspect"
)

// Guards against requests that are suspected because their backend server breaks off many exchanges.
func TestBreaksOfServerThatBreaksOffManyAreExpected(t *testing.T) {
	var b suspect.Breaks
	for range 100 {
		b.Completed(0)
	}
	for i := range uint64(2) {
		require.True(t, b.Broke(i, 0), i)
	}
	require.False(t, b.Broke(10, 0))
	require.False(t, b.Broke(10, 9*time.Second))
	for range 100 {
		b.Completed(30 * time.Second)
	}
	require.True(t, b.Broke(11, 30*time.Second), "the server has recovered")
}

// Guards against a crashing request whose own broken exchanges make them expected.
func TestOwnBreaksOfRequestStayUnexpected(t *testing.T) {
	var b suspect.Breaks
	b.Completed(0)
	for range 100 {
		require.True(t, b.Broke(1, 0))
	}
}

// Guards against requests that are suspected although their backend server has answered nothing.
func TestBreaksOfSilentServerAreExpected(t *testing.T) {
	var b suspect.Breaks
	require.False(t, b.Broke(1, 0))
}

// Guards against a request that crashes workers one by one and is never blocked, as its server goes on.
func TestUncertainDeathsBlockLater(t *testing.T) {
	table := suspect.NewTable()
	table.RecordDeath(1, suspect.Death{ID: 1, Uncertain: true}, 0)
	require.Equal(t, suspect.Unsuspected, level(table, 1), "one broken exchange shows nothing")
	table.RecordDeath(1, suspect.Death{ID: 2, Uncertain: true}, 0)
	require.Equal(t, suspect.Suspected, level(table, 1))
	table.RecordDeath(1, suspect.Death{ID: 3, Alone: true, Uncertain: true}, 0)
	require.Equal(t, suspect.Blocked, level(table, 1))
	table.Clear(1)
	require.Equal(t, suspect.Unsuspected, level(table, 1))
}

// Guards against a request that is blocked by less than two proven deaths or three broken exchanges.
func TestProvenAndUncertainDeathsBlockTogether(t *testing.T) {
	table := suspect.NewTable()
	table.RecordDeath(1, suspect.Death{ID: 1, Alone: true}, 0)
	table.RecordDeath(1, suspect.Death{ID: 2, Alone: true, Uncertain: true}, 0)
	require.Equal(t, suspect.Suspected, level(table, 1))
	table.RecordDeath(1, suspect.Death{ID: 2, Alone: true}, 0)
	require.Equal(t, suspect.Blocked, level(table, 1), "another node has proven the second one")
}
