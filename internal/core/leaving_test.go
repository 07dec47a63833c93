package core_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetdock/limpetdock/internal/core"
	"github.com/limpetdock/limpetdock/internal/pick"
	"github.com/limpetdock/limpetdock/internal/platform"
	"github.com/limpetdock/limpetdock/internal/wire"
)

// A VM is listed as leaving. A peer that has the new list notifies it, and the VM
// refuses new work. Then a list arrives that is newer than the VM's own but older than
// the peer's, as happens with several changes in quick succession. It must not make the
// VM accept work again.
func TestOlderVMListDoesNotOverridePeerReport(t *testing.T) {
	const vm = "vm-1"
	s := core.New(core.Self{Place: pick.Place{VM: vm, Zone: "z", Region: "r"}, Fleet: "f", Incarnation: 1}, 1)
	tick := func(now time.Duration, e ...core.Event) bool {
		s.Tick(core.Input{Now: now, Events: append(e, core.BackendStatus{})})
		return s.Leaving()
	}
	list := func(version uint64, state platform.VMState) core.VMsRead {
		return core.VMsRead{List: platform.VMList{Version: version, VMs: []platform.VM{{Name: vm, State: state}}}}
	}
	require.False(t, tick(1, list(3, platform.VMLive)))
	report := wire.Member{VM: vm, Incarnation: 1, State: wire.MemberListed}
	require.True(t, tick(2, core.GossipReceived{Message: &wire.Gossip{From: "vm-2", VMs: 5, Members: []wire.Member{report}}}))
	require.True(t, tick(3, list(4, platform.VMLive)), "the report was based on a newer list")
	require.True(t, tick(4, list(5, platform.VMLeaving)))
	require.False(t, tick(5, list(6, platform.VMLive)))
}
