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

// onAllHosts returns a condition that is true if holds is true on each running node
// except one.
func onAllHosts(w *simulation, but *host, holds func(h *host) bool) func() bool {
	return func() bool {
		for _, h := range w.hosts {
			if h != but && !h.dead && !holds(h) {
				return false
			}
		}
		return true
	}
}

func target(h *host, vm string) *pick.Target {
	for _, s := range h.view.Services {
		for _, t := range s.Homes {
			if t.Place.VM == vm {
				return t
			}
		}
	}
	return nil
}

func isSuspected(h *host, vm string) bool { return h.state.Dump(0).Members[vm].Suspected }

// A backend server is leaving. Its own guard must refuse new work within a tick of the
// first sign that reaches the node, and entries must stop choosing it within seconds,
// whatever the sign and whichever nodes read the list.
func TestLeavingReachesGuardAndEntries(t *testing.T) {
	cases := []struct {
		name  string
		sign  func(w *simulation, h *host)
		own   time.Duration
		every int
	}{
		// Two nodes in each zone read the list and notify the VM first.
		{"the VM list", func(w *simulation, h *host) {
			w.listVMs(map[string]platform.VMState{h.VM: platform.VMLeaving})
		}, 3 * tick, 4},
		{"the health endpoint", func(_ *simulation, h *host) { h.backendStatus.State = core.BackendDraining }, tick, 20},
		{"the backend server is down", func(_ *simulation, h *host) { h.backendStatus.State = core.BackendDown }, tick, 20},
		{"the node is stopping", func(_ *simulation, h *host) { h.backendStatus.Stopping = true }, tick, 20},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			w := newSimulation(t, newFleet(1, 6, 3, 54), 2)
			w.until(10*time.Second, "started", w.inForce(1))
			var own, all time.Duration
			for i := 0; i < len(w.hosts); i += c.every {
				h := w.hosts[i]
				c.sign(w, h)
				own = max(own, w.until(c.own, "refused by the guard", h.state.Leaving))
				all = max(all, w.until(2500*time.Millisecond, "no longer chosen by entries", onAllHosts(w, nil, func(o *host) bool {
					return target(o, h.VM).Leaving
				})))
			}
			t.Logf("own guard after %v, entries after %v more", own, all)
		})
	}
}

// A drain is cancelled and the backend server accepts work again. Older updates about
// its leaving must not stop entries from choosing it.
func TestCancelledLeavingIsReverted(t *testing.T) {
	w, _ := newEighteenNodes(t, 3)
	h := w.hosts[7]
	w.listVMs(map[string]platform.VMState{h.VM: platform.VMLeaving})
	w.until(2*time.Second, "leaving", h.state.Leaving)
	w.run(20 * time.Second)
	w.listVMs(nil)
	w.until(20*time.Second, "not leaving", func() bool { return !h.state.Leaving() })
	w.until(20*time.Second, "chosen again", onAllHosts(w, nil, func(o *host) bool { return !target(o, h.VM).Leaving }))
	w.run(2 * time.Minute)
	require.False(t, h.state.Leaving())
}

// A node stops, and peers suspect it within seconds. It restarts with a new
// incarnation: no peer may suspect it any longer, and at-most-once attempts must name
// the new incarnation.
func TestDeadNodeIsSuspectedUntilRestart(t *testing.T) {
	w, _ := newEighteenNodes(t, 4)
	w.run(5 * time.Second)
	h := w.hosts[3]
	h.dead = true
	t.Logf("suspected everywhere after %v", w.until(30*time.Second, "suspected",
		onAllHosts(w, h, func(o *host) bool { return isSuspected(o, h.VM) })))
	w.run(2 * time.Minute)
	w.start(h)
	t.Logf("known again after %v", w.until(5*time.Second, "known as its new incarnation",
		onAllHosts(w, h, func(o *host) bool {
			return !isSuspected(o, h.VM) && target(o, h.VM).Stat.Identity().Incarnation == h.Incarnation
		})))
}

// Node a can't reach node b, while b can reach a and all other nodes reach both. Node a
// suspects b, b refutes it, and a must not start to suspect it repeatedly.
func TestOneWayLinkFailureCausesNoLastingSuspicion(t *testing.T) {
	w, _ := newEighteenNodes(t, 5)
	a, b := w.hosts[2], w.hosts[8]
	w.cut = func(from, to *host) bool { return from == a && to == b }
	w.run(3 * time.Minute)
	suspecting, rounds := 0, 0
	for range 1200 {
		w.step()
		for _, h := range w.hosts {
			rounds++
			if isSuspected(h, b.VM) {
				suspecting++
			}
		}
	}
	require.Less(t, float64(suspecting)/float64(rounds), 0.05)
	require.LessOrEqual(t, a.state.Counters().Suspicions, uint64(3))
}

// A VM restarts with its clock set back, so that its new incarnation is lower than the
// one peers know. They must still learn the new one.
func TestRestartWithClockSetBackIsLearned(t *testing.T) {
	w, _ := newEighteenNodes(t, 6)
	w.run(5 * time.Second)
	h := w.hosts[9]
	h.Incarnation -= 15_000
	w.start(h)
	w.until(30*time.Second, "known as its new incarnation", onAllHosts(w, h, func(o *host) bool {
		return target(o, h.VM).Stat.Identity().Incarnation == h.Incarnation
	}))
	require.Positive(t, h.state.Counters().NameClashes)
}

// The VM list omits a running node, contains a stopped one, and later has a new address
// for a third. Requests may be refused at worst, and the next version of the list must
// correct the state.
func TestWrongVMListIsTolerated(t *testing.T) {
	w, _ := newEighteenNodes(t, 7)
	missing, dead, moved := w.hosts[4], w.hosts[10], w.hosts[15]
	dead.dead = true
	w.listVMs(map[string]platform.VMState{missing.VM: ""})
	w.run(20 * time.Second)
	require.False(t, missing.state.Leaving(), "a node missing from the list continues to serve")
	w.until(10*time.Second, "suspected", onAllHosts(w, dead, func(o *host) bool { return o == missing || isSuspected(o, dead.VM) }))
	delete(w.byAddr, moved.addr)
	moved.addr = "10.9.9.9:7300"
	w.byAddr[moved.addr] = moved
	w.start(moved)
	w.listVMs(nil)
	w.until(20*time.Second, "reached at the new address", onAllHosts(w, dead, func(o *host) bool {
		return o.view != nil && target(o, moved.VM).Control == moved.addr && target(o, missing.VM).Control == missing.addr
	}))
	w.until(20*time.Second, "new incarnation known", onAllHosts(w, dead, func(o *host) bool {
		return o == moved || target(o, moved.VM).Stat.Identity().Incarnation == moved.Incarnation
	}))
}

// All nodes of a zone stop and later restart at once, without state. In the first
// second after that, their simultaneous start must not overload the platform or the
// other nodes.
func TestZoneRestartCausesNoLoadSpike(t *testing.T) {
	w := newSimulation(t, newFleet(1, 6, 6, 108), 8)
	w.until(20*time.Second, "started", w.inForce(1))
	sent := func() (n int) {
		for _, h := range w.hosts {
			n += h.sent["core.SendGossip"] + h.sent["core.FetchIndex"] + h.sent["core.FetchVMs"] + h.sent["core.FetchDocument"]
		}
		return n
	}
	inZone1 := func(h *host) bool { return h.Zone == "z1" }
	for _, h := range w.hosts {
		h.dead = inZone1(h)
	}
	w.run(2 * time.Minute)
	before := w.calls
	w.run(10 * time.Second)
	steady := w.calls - before
	for _, h := range w.hosts {
		if inZone1(h) {
			w.start(h)
		}
	}
	calls, messages := w.calls, sent()
	w.run(time.Second)
	t.Logf("18 nodes restarted: %d platform calls and %d messages in the first second; %d calls in 10 s before",
		w.calls-calls, sent()-messages, steady)
	// Each node reads the index and the list once; documents are fetched from peers.
	require.LessOrEqual(t, w.calls-calls, 2*18+6+steady)
	w.until(15*time.Second, "served", w.inForce(1))
}

// Invalid updates, or updates about VMs that no longer exist, must not fill memory.
func TestUpdatesOfUnknownVMsAreDropped(t *testing.T) {
	w, _ := newEighteenNodes(t, 9)
	h := w.hosts[0]
	g := &wire.Gossip{From: "vm1"}
	for i := range 1000 {
		g.Members = append(g.Members, wire.Member{VM: "stranger" + string(rune('a'+i%26)) + time.Duration(i).String(), Incarnation: 1})
	}
	h.events = append(h.events, core.GossipReceived{Message: g})
	w.run(time.Second)
	require.Less(t, len(h.state.Dump(0).Members), 19)
	require.False(t, h.state.Welcome(&wire.Hello{Fleet: "test", VM: "stranger"}))
	require.False(t, h.state.Welcome(&wire.Hello{Fleet: "other", VM: "vm1"}))
	require.True(t, h.state.Welcome(&wire.Hello{Fleet: "test", VM: "vm1"}))
}

// A node's budget for all control traffic is 4 KB/s. Gossip traffic must not grow with
// the fleet.
func TestGossipBytesAreIndependentOfFleetSize(t *testing.T) {
	perNode := func(nodes int) float64 {
		w := newSimulation(t, newFleet(1, 6, 3, nodes), 1)
		w.until(20*time.Second, "started", w.inForce(1))
		w.run(20 * time.Second)
		before := w.bytes
		const seconds = 30
		w.run(seconds * time.Second)
		return float64(w.bytes-before) / seconds / float64(nodes)
	}
	small := perNode(18)
	large := perNode(108)
	t.Logf("bytes sent a second by each node: %.0f at 18 nodes, %.0f at 108", small, large)
	// Names are one digit longer, and with 36 or more members each message is full.
	require.Less(t, large, 1.3*small)
	require.Less(t, large, 1500.0)
}

// A peer that doesn't answer may delay one exchange but not all, and the number of
// concurrent exchanges stays bounded.
func TestExchangesAreBounded(t *testing.T) {
	w, f := newEighteenNodes(t, 10)
	h := w.hosts[0]
	w.cut = func(from, _ *host) bool { return from == h }
	start := h.sent["core.SendGossip"]
	for i := range 50 {
		h.backendStatus.Stopping = i%2 == 0
		w.publish(changedFleet(f, uint64(2+i), i+1))
		w.run(2 * tick)
	}
	// At most eight are in flight, each for one second, during five seconds.
	require.LessOrEqual(t, h.sent["core.SendGossip"]-start, 8*6)
}

func BenchmarkView(b *testing.B) {
	f := newFleet(1, 11, 59, 59*15)
	w := newSimulation(b, f, 1)
	w.hosts = w.hosts[:1]
	h := w.hosts[0]
	w.until(20*time.Second, "started", func() bool { return h.view != nil })
	b.ResetTimer()
	for b.Loop() {
		h.backendStatus.Stopping = !h.backendStatus.Stopping
		for _, cmd := range h.state.Tick(core.Input{Now: w.now, Events: []core.Event{h.backendStatus}}) {
			if _, ok := cmd.(core.Publish); ok {
				h.logs = nil
			}
		}
	}
}
