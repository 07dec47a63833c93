package reader

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestLagCountsFromFirstReportOfMissingRevision(t *testing.T) {
	lag := &lagTracker{}
	require.Zero(t, lag.duration(7, time.Second))
	lag.reported(8, 7, 2*time.Second)
	lag.reported(9, 7, 4*time.Second)
	require.Equal(t, 3*time.Second, lag.duration(7, 5*time.Second))
	require.Zero(t, lag.duration(8, 5*time.Second), "the missing revision has arrived")
	lag.reported(9, 8, 6*time.Second)
	require.Equal(t, time.Second, lag.duration(8, 7*time.Second))
	require.Zero(t, lag.duration(9, 7*time.Second))
}
