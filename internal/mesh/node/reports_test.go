package node

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetdock/limpetdock/internal/mesh"
	"github.com/limpetdock/limpetdock/internal/mesh/peer"
	"github.com/limpetdock/limpetdock/internal/mesh/reader"
)

// A target in a region of a hundred nodes is used by ten, and its load changes sixteen times a
// second. Sent to all nodes each time, load reports would be most of the traffic between
// zones. Sent too rarely, the others would consider the node gone or the target idle.
func TestLoadReportSchedule(t *testing.T) {
	now := time.Now()
	schedule := reportSchedule{}
	next := func(after time.Duration, l mesh.Load, urgent bool) (peer.Scope, bool) {
		now = now.Add(after)
		return schedule.next(l, urgent, now)
	}
	l := mesh.Load{Running: 1, Revision: 4}
	reach, due := next(0, l, false)
	require.True(t, due)
	require.Equal(t, peer.ScopeRegion, reach, "the first report")
	l.Running = 2
	reach, due = next(minReportInterval, l, false)
	require.True(t, due)
	require.Equal(t, peer.ScopeSenders, reach, "a change of load")
	_, due = next(minReportInterval, l, false)
	require.False(t, due, "nothing has changed")
	reach, due = next(regionReportInterval, l, false)
	require.True(t, due)
	require.Equal(t, peer.ScopeRegion, reach, "at least once a second")
	l.Revision = 5
	reach, due = next(minReportInterval, l, false)
	require.True(t, due)
	require.Equal(t, peer.ScopeSenders, reach, "a follower received a store update: readers report to the region")
	reach, due = next(regionReportInterval-minReportInterval, l, false)
	require.True(t, due, "a node without a reader learns the revision within a second")
	require.Equal(t, peer.ScopeRegion, reach)
	l.ReadsStore = true
	reach, _ = next(minReportInterval, l, false)
	require.Equal(t, peer.ScopeAll, reach, "a node begins to read the store")
	l.Revision = 6
	reach, _ = next(minReportInterval, l, false)
	require.Equal(t, peer.ScopeAll, reach, "a reader has read a store update")
	reach, due = next(reader.ReportInterval, l, false)
	require.True(t, due, "a reader reports that it is alive")
	require.Equal(t, peer.ScopeRegion, reach)
	l.ReadsStore = false
	reach, _ = next(minReportInterval, l, false)
	require.Equal(t, peer.ScopeRegion, reach, "a reader refused by the store reports it at once")
	l.Leaving = true
	reach, _ = next(minReportInterval, l, true)
	require.Equal(t, peer.ScopeAll, reach, "an urgent report")
}
