package core_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetdock/limpetdock/internal/handover"
	"github.com/limpetdock/limpetdock/internal/wire"
)

// Operators restart a whole zone. Each node finds keepers in its region that don't
// restart, its next process asks the same keepers, and the keeper that stored the key
// table returns it to no other node.
func TestSuccessorUsesItsPredecessorsKeepers(t *testing.T) {
	w := newSimulation(t, newFleet(1, 6, 2, 24), 3)
	w.until(time.Minute, "all serve", w.inForce(1))
	h := w.hosts[0]
	before := h.state.Keepers()
	require.Len(t, before, 4)
	for _, p := range before {
		peer := w.byAddr[p.Addr]
		require.Equal(t, h.Region, peer.Region)
		require.NotEqual(t, h.Zone, peer.Zone)
	}
	old := h.Incarnation
	keeper := w.byAddr[before[0].Addr]
	other := keeper.state.OfferKeys(h.VM, &wire.KeysOffer{Format: wire.KeysFormat, VM: "vm9", Incarnation: 1, HoldMs: 60_000}, moment(w))
	require.Zero(t, other.Token, "a node may offer only its own VM's table")
	grant := keeper.state.OfferKeys(h.VM, &wire.KeysOffer{
		Format: wire.KeysFormat, VM: h.VM, Incarnation: old, Bytes: 10, HoldMs: 60_000,
	}, moment(w))
	require.NotZero(t, grant.Token)
	kept := keeper.state.StoreKeys(h.VM, &wire.KeysPart{Token: grant.Token, Parts: 1, Data: []byte("chunk")}, moment(w))
	require.True(t, kept.OK)
	w.start(h)
	w.until(time.Minute, "serves again", w.inForce(1))
	require.Equal(t, before, h.state.Keepers())
	request := &wire.KeysRequest{Format: wire.KeysFormat, VM: h.VM, Incarnation: h.Incarnation}
	require.Zero(t, keeper.state.ServeKeys("vm9", request, moment(w)).Parts)
	require.EqualValues(t, 1, keeper.state.ServeKeys(h.VM, request, moment(w)).Parts)
	require.Zero(t, keeper.state.ServeKeys(h.VM, request, moment(w)).Parts)
}

func moment(w *simulation) handover.Moment {
	return handover.Moment{Up: w.now, Wall: time.Unix(0, int64(w.now))}
}
