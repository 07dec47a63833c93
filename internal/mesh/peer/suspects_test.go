package peer

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetdock/limpetdock/internal/kind"
	"github.com/limpetdock/limpetdock/internal/mesh"
	"github.com/limpetdock/limpetdock/internal/mesh/quarantine"
)

func suspectRow(fingerprint uint64) quarantine.Row {
	return quarantine.Row{Fingerprint: fingerprint, Deaths: []uint64{1, 2}, Alone: []bool{false, true}, Cleared: []uint64{1}, ExpiresMs: 1000}
}

// Guards against a node that learns nothing of requests that crash backend servers: neither what
// was known before it connected, nor what happens later.
func TestSuspectsReachConnectedNodes(t *testing.T) {
	addr, s, c, _ := start(t, func(context.Context, *mesh.Request) (*mesh.Answer, *kind.Error) { return &mesh.Answer{}, nil })
	s.SetInitialSuspects(func() []quarantine.Row { return []quarantine.Row{suspectRow(1)} })
	received := make(chan []quarantine.Row, 2)
	c.OnSuspects(func(rows []quarantine.Row) { received <- rows })
	require.NoError(t, c.Warm(t.Context(), addr))
	require.Equal(t, []quarantine.Row{suspectRow(1)}, <-received)
	s.SendSuspects([]quarantine.Row{suspectRow(2), suspectRow(3)}, quarantine.Everyone)
	require.Equal(t, []quarantine.Row{suspectRow(2), suspectRow(3)}, <-received)
}

// Guards against connections to nodes of an older version that break on each message about
// suspects.
func TestNodesOfOlderVersionsReceiveNoSuspects(t *testing.T) {
	addr, s, c, _ := start(t, func(context.Context, *mesh.Request) (*mesh.Answer, *kind.Error) { return &mesh.Answer{}, nil })
	s.SetInitialSuspects(func() []quarantine.Row { return []quarantine.Row{suspectRow(1)} })
	c.hello.Suspects = false
	c.OnSuspects(func([]quarantine.Row) { t.Error("received suspects") })
	_, err := c.Run(t.Context(), addr, &mesh.Request{ID: "a", Remaining: time.Minute})
	require.Nil(t, err)
	s.SendSuspects([]quarantine.Row{suspectRow(2)}, quarantine.Everyone)
	_, err = c.Run(t.Context(), addr, &mesh.Request{ID: "b", Remaining: time.Minute})
	require.Nil(t, err)
}

// Guards against a request that runs in company though its sender suspects it.
func TestSuspicionTravelsWithTheRequest(t *testing.T) {
	got := make(chan bool, 1)
	addr, _, c, _ := start(t, func(_ context.Context, r *mesh.Request) (*mesh.Answer, *kind.Error) {
		got <- r.Suspected
		return &mesh.Answer{}, nil
	})
	_, err := c.Run(t.Context(), addr, &mesh.Request{ID: "a", Remaining: time.Minute, Suspected: true})
	require.Nil(t, err)
	require.True(t, <-got)
}
