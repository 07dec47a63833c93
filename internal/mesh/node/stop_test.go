package node

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against callers that get no response while a stopping node waits for other work.
func TestCallersAreServedUntilAllElseHasEnded(t *testing.T) {
	var refused, idle bool
	finish := func() bool {
		refused = true
		return true
	}
	other := func() bool { return idle }
	require.False(t, allEnded(other, finish))
	require.False(t, refused)
	idle = true
	require.True(t, allEnded(other, finish))
	require.True(t, refused)
}
