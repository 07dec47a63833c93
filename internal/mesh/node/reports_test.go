package node

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetdock/limpetdock/internal/kind"
	"github.com/limpetdock/limpetdock/internal/mesh"
	"github.com/limpetdock/limpetdock/internal/mesh/calladmission"
	"github.com/limpetdock/limpetdock/internal/mesh/guard"
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

// Guards against large answers that other nodes keep asking for although the link has no room, and
// against load reports that don't say so.
func TestReportingGuardFollowsTheLink(t *testing.T) {
	u := peer.NewUplink(1e6, 0)
	g := guard.New(guard.Config{Now: func() time.Duration { return 0 }, LoadChanged: func(bool) {}, Here: mesh.Place{Service: "s"}})
	r := newReportingGuard(g, calladmission.NewRecorder(), u)
	require.Zero(t, r.Load().LinkRate)
	u.SetEnabled(true)
	require.InDelta(t, 1e6, r.Load().LinkRate, 0)

	server := peer.NewServer(r, mesh.Place{})
	server.SetUplink(u)
	server.SetStateSync(func() bool { return false }, peer.StateSync{Answer: func(peer.StateQuery) []byte { return make([]byte, 8<<20) }})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	go func() { _ = server.Serve(l) }()
	defer func() {
		_ = l.Close()
		server.Close()
	}()
	client := peer.NewClient(mesh.Place{}, newReportDispatcher(func() time.Duration { return 0 }))
	client.SetStateSync(peer.StateSync{Apply: func([]byte) {}})
	require.NoError(t, client.Warm(t.Context(), l.Addr().String()))
	require.NoError(t, client.Ask(l.Addr().String(), peer.StateQuery{}))
	require.Eventually(t, func() bool { return r.Load().LinkBacklog > 100*time.Millisecond }, time.Minute, time.Millisecond)
	bulk := &mesh.Route{Name: "bulk", Host: "h", Prefix: "/", Bulk: true}
	g.SetView(&mesh.View{Config: mesh.NewConfig(1, nil, []*mesh.Route{bulk}, mesh.Limits{})})
	_, refusal := r.Run(t.Context(), &mesh.Request{Host: "h", URI: "/", Service: "s"})
	require.Equal(t, kind.Overloaded, refusal.Kind)
	require.EqualValues(t, 1, u.State().Refused)
	bulk.Bulk = false
	_, refusal = r.Run(t.Context(), &mesh.Request{Host: "h", URI: "/", Service: "s"})
	require.NotEqual(t, kind.Overloaded, refusal.Kind)
	client.CloseUnused(nil)
}
