package core_test

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"sort"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetdock/limpetdock/fleet"
	"github.com/limpetdock/limpetdock/internal/config"
	"github.com/limpetdock/limpetdock/internal/core"
	"github.com/limpetdock/limpetdock/internal/pick"
	"github.com/limpetdock/limpetdock/internal/platform"
	"github.com/limpetdock/limpetdock/internal/wire"
)

const (
	tick      = 50 * time.Millisecond
	linkDelay = 10 * time.Millisecond
	timeout   = time.Second
	watchHold = 20 * time.Second
)

var errDown = errors.New("down")

// value is one version of a platform key and the time it was published.
type value struct {
	version uint64
	text    []byte
	at      time.Duration
}

// simulation connects the States of many nodes by simulated links and a simulated
// platform, in which tests can cause faults. It runs in simulated time.
type simulation struct {
	t       testing.TB
	now     time.Duration
	rnd     *rand.Rand
	hosts   []*host
	byAddr  map[string]*host
	pending []pending
	version uint64
	values  map[string][]value
	vms     []platform.VMList
	// cut reports whether messages from one VM to another are lost.
	cut func(from, to *host) bool
	// down and asOf are the platform's faults as seen from a zone: down reports whether
	// it doesn't answer, and asOf is the time of the state that it returns.
	down  func(zone string) bool
	asOf  func(zone string) time.Duration
	calls int
	// callsBySecond counts the platform calls of each second.
	callsBySecond map[time.Duration]int
	bytes         int
}

// host is one VM and its node.
type host struct {
	core.Self
	state         *core.State
	seed          uint64
	startedAt     time.Duration
	dead          bool
	frozen        bool
	events        []core.Event
	backendStatus core.BackendStatus
	view          *pick.View
	best          config.Version
	sent          map[string]int
	addr          string
	logs          []string
	waiting       []func() bool
	// bytes is the number of bytes sent by the host's node, and busy the total time of
	// its ticks.
	bytes int
	busy  time.Duration
}

// pending is an event that is due for a process of a host.
type pending struct {
	at    time.Duration
	to    *host
	state *core.State
	run   func()
}

func newSimulation(t testing.TB, f fleet.Fleet, seed uint64) *simulation {
	w := &simulation{
		t: t, rnd: rand.New(rand.NewPCG(seed, 1)), byAddr: map[string]*host{}, values: map[string][]value{},
		callsBySecond: map[time.Duration]int{},
		cut:           func(_, _ *host) bool { return false },
		down:          func(string) bool { return false },
		asOf:          func(string) time.Duration { return 1 << 62 },
	}
	regions := map[string]string{}
	for _, z := range f.Zones {
		regions[z.Name] = z.Region
	}
	for _, s := range f.Services {
		for _, target := range s.Targets {
			i := len(w.hosts)
			ip := fmt.Sprintf("10.0.%d.%d", i/250, i%250+1)
			h := &host{seed: seed + uint64(i), addr: net.JoinHostPort(ip, "7300"), sent: map[string]int{}}
			h.Place = pick.Place{VM: target.VM, Zone: target.Zone, Region: regions[target.Zone]}
			h.Fleet = f.Name
			h.Incarnation = uint64(1000 + i)
			w.hosts = append(w.hosts, h)
			w.byAddr[h.addr] = h
		}
	}
	w.publish(f)
	w.listVMs(nil)
	for _, h := range w.hosts {
		w.start(h)
	}
	return w
}

// start starts a new process on a host, without state.
func (w *simulation) start(h *host) {
	h.Incarnation += 10_000
	h.dead, h.frozen, h.startedAt, h.view = false, false, w.now, nil
	h.events, h.waiting = nil, nil
	h.best = config.Version{}
	h.state = core.New(h.Self, h.seed+h.Incarnation)
}

func (w *simulation) publish(f fleet.Fleet) {
	pub, err := f.Print()
	require.NoError(w.t, err)
	for _, doc := range append(pub.Services, pub.Index) {
		w.put(doc.Key, doc.Text)
	}
}

func (w *simulation) put(key string, text []byte) {
	w.version++
	w.values[key] = append(w.values[key], value{w.version, text, w.now})
}

// listVMs publishes the VM list. states overrides the state "live"; "" omits a VM.
func (w *simulation) listVMs(states map[string]platform.VMState) {
	w.version++
	list := platform.VMList{Version: w.version}
	for _, h := range w.hosts {
		state, ok := states[h.VM]
		if !ok {
			state = platform.VMLive
		}
		if state == "" {
			continue
		}
		ip, _, _ := net.SplitHostPort(h.addr)
		list.VMs = append(list.VMs, platform.VM{Name: h.VM, IP: ip, State: state})
	}
	w.vms = append(w.vms, list)
}

func (w *simulation) read(zone, key string) (value, error) {
	if w.down(zone) {
		return value{}, errDown
	}
	list := w.values[key]
	for i := len(list) - 1; i >= 0; i-- {
		if list[i].at <= w.asOf(zone) {
			return list[i], nil
		}
	}
	return value{}, platform.ErrNotFound
}

// later runs f in a host's process after a delay, unless that process has ended.
func (w *simulation) later(h *host, after time.Duration, f func()) {
	w.pending = append(w.pending, pending{w.now + after, h, h.state, f})
}

// run advances the simulation by d.
func (w *simulation) run(d time.Duration) {
	for end := w.now + d; w.now < end; {
		w.step()
	}
}

// until advances the simulation until a condition holds and returns the time it took.
func (w *simulation) until(limit time.Duration, what string, holds func() bool) time.Duration {
	w.t.Helper()
	start := w.now
	for !holds() {
		if w.now-start > limit {
			w.t.Fatalf("after %v: not %s", limit, what)
		}
		w.step()
	}
	return w.now - start
}

func (w *simulation) step() {
	w.now += tick
	due := w.pending
	w.pending = nil
	sort.SliceStable(due, func(i, j int) bool { return due[i].at < due[j].at })
	for _, p := range due {
		switch {
		case p.to.dead || p.to.state != p.state:
		case p.at > w.now || p.to.frozen:
			w.pending = append(w.pending, p)
		default:
			p.run()
		}
	}
	running := slices.DeleteFunc(slices.Clone(w.hosts), func(h *host) bool { return h.dead || h.frozen })
	out := make([][]core.Command, len(running))
	w.each(len(running), func(i int) { out[i] = w.tick(running[i]) })
	for i, h := range running {
		for _, cmd := range out[i] {
			h.sent[fmt.Sprintf("%T", cmd)]++
			w.do(h, cmd)
		}
	}
}

// each calls f for 0 to n-1, concurrently for large fleets. The States share nothing,
// so this doesn't change the results.
func (w *simulation) each(n int, f func(i int)) {
	const batch = 100
	var wg sync.WaitGroup
	for from := 0; from < n; from += batch {
		runBatch := func() {
			for i := from; i < min(from+batch, n); i++ {
				f(i)
			}
		}
		if n <= batch {
			runBatch()
			return
		}
		wg.Go(runBatch)
	}
	wg.Wait()
}

func (w *simulation) tick(h *host) []core.Command {
	waiting := h.waiting
	h.waiting = nil
	for _, ready := range waiting {
		if !ready() {
			h.waiting = append(h.waiting, ready)
		}
	}
	events := append(h.events, h.backendStatus)
	h.events = nil
	start := time.Now()
	defer func() { h.busy += time.Since(start) }()
	return h.state.Tick(core.Input{Now: w.now - h.startedAt, Events: events})
}

func (w *simulation) do(h *host, cmd core.Command) {
	switch c := cmd.(type) {
	case core.Publish:
		v := c.View.Config.Index.Version
		require.Falsef(w.t, h.best.Newer(v), "%s reverted from %v to %v", h.VM, h.best, v)
		h.best, h.view = v, c.View
	case core.Log:
		h.logs = append(h.logs, c.Message)
	case core.ReadIndex:
		w.readIndex(h, c)
	case core.WatchVMs:
		w.watchVMs(h, c)
	case core.FetchDocument:
		w.fetchDocument(h, c)
	case core.FetchIndex:
		w.call(h, c.Peer, &wire.Fetch{Digest: c.Digest}, func(m wire.Message, err error) core.Event {
			doc, _ := m.(*wire.Document)
			return core.IndexRead{Text: text(doc), Peer: c.Peer, Want: c.Digest, Err: empty(doc, err)}
		})
	case core.FetchVMs:
		w.call(h, c.Peer, &wire.FetchVMs{}, func(_ wire.Message, err error) core.Event {
			if err != nil {
				return core.VMsRead{Peer: c.Peer, Err: err}
			}
			return core.VMsRead{Peer: c.Peer, List: w.byAddr[c.Peer].state.VMs()}
		})
	case core.SendGossip:
		w.call(h, c.Addr, c.Message, func(m wire.Message, err error) core.Event {
			if err != nil {
				return core.GossipFailed{VM: c.VM}
			}
			return core.GossipReceived{Message: m.(*wire.Gossip), Addr: c.Addr}
		})
	}
}

func text(d *wire.Document) []byte {
	if d == nil {
		return nil
	}
	return d.Text
}

func empty(d *wire.Document, err error) error {
	if err == nil && len(text(d)) == 0 {
		return errDown
	}
	return err
}

// watch delivers the event of ready once ready returns one; last is true when the hold
// time has expired.
func (w *simulation) watch(h *host, hold time.Duration, ready func(last bool) core.Event) {
	w.calls++
	w.callsBySecond[w.now.Truncate(time.Second)]++
	end := w.now + hold
	h.waiting = append(h.waiting, func() bool {
		e := ready(w.now >= end)
		if e != nil {
			h.events = append(h.events, e)
		}
		return e != nil
	})
}

func (w *simulation) readIndex(h *host, c core.ReadIndex) {
	hold := time.Duration(0)
	if c.Watch {
		hold = watchHold
	}
	w.watch(h, hold, func(last bool) core.Event {
		v, err := w.read(h.Zone, fleet.IndexKey)
		if err == nil && c.Watch && v.version == c.After && !last {
			return nil
		}
		return core.IndexRead{Text: v.text, Version: v.version, Err: err}
	})
}

func (w *simulation) watchVMs(h *host, c core.WatchVMs) {
	hold := watchHold
	if c.After == 0 {
		hold = 0
	}
	w.watch(h, hold, func(last bool) core.Event {
		list := w.vms[len(w.vms)-1]
		if w.down(h.Zone) {
			return core.VMsRead{Err: errDown}
		}
		if list.Version == c.After && !last {
			return nil
		}
		return core.VMsRead{List: list}
	})
}

func (w *simulation) fetchDocument(h *host, c core.FetchDocument) {
	if c.Peer == "" {
		w.watch(h, 0, func(bool) core.Event {
			v, err := w.read(h.Zone, c.Entry.Key)
			return core.DocumentRead{Entry: c.Entry, Text: v.text, Err: err}
		})
		return
	}
	w.call(h, c.Peer, &wire.Fetch{Digest: c.Entry.Digest}, func(m wire.Message, err error) core.Event {
		doc, _ := m.(*wire.Document)
		return core.DocumentRead{Entry: c.Entry, Peer: c.Peer, Text: text(doc), Err: empty(doc, err)}
	})
}

// call sends a message to a peer and delivers its reply as an event.
func (w *simulation) call(h *host, addr string, m wire.Message, event func(wire.Message, error) core.Event) {
	w.count(h, m)
	lost := func() { w.later(h, timeout, func() { h.events = append(h.events, event(nil, errDown)) }) }
	peer := w.byAddr[addr]
	if peer == nil || peer.dead || peer.frozen || w.cut(h, peer) {
		lost()
		return
	}
	state := h.state
	w.later(peer, linkDelay, func() {
		reply := answer(peer, m)
		w.count(peer, reply)
		if w.cut(peer, h) || h.state != state {
			lost()
			return
		}
		w.later(h, linkDelay, func() { h.events = append(h.events, event(reply, nil)) })
	})
}

func answer(h *host, m wire.Message) wire.Message {
	switch m := m.(type) {
	case *wire.Gossip:
		h.events = append(h.events, core.GossipReceived{Message: m})
		return h.state.GossipMessage()
	case *wire.Fetch:
		return &wire.Document{Digest: m.Digest, Text: h.state.Document(m.Digest)}
	}
	return &wire.VMs{}
}

func (w *simulation) count(h *host, m wire.Message) {
	frame, err := wire.Encode(m)
	require.NoError(w.t, err)
	w.bytes += len(frame)
	h.bytes += len(frame)
}

// inForce returns a condition that is true if the revision is in force on every running
// node.
func (w *simulation) inForce(revision uint64) func() bool {
	return func() bool {
		for _, h := range w.hosts {
			if !h.dead && (h.view == nil || h.view.Config.Index.Version.Revision != revision) {
				return false
			}
		}
		return true
	}
}

// newFleet returns a fleet of services with targets spread over the zones of three
// regions.
func newFleet(revision uint64, zones, services, targets int) fleet.Fleet {
	f := fleet.Fleet{Name: "test", Revision: revision, Teams: []fleet.Team{{Name: "team"}}}
	for i := range zones {
		f.Zones = append(f.Zones, fleet.Zone{Name: fmt.Sprintf("z%d", i), Region: fmt.Sprintf("r%d", i%3)})
	}
	n := 0
	for i := range services {
		s := fleet.Service{Name: fmt.Sprintf("s%d", i), Team: "team", Timeout: time.Second}
		for range targets / services {
			s.Targets = append(s.Targets, fleet.Target{VM: fmt.Sprintf("vm%d", n), Zone: fmt.Sprintf("z%d", n%zones), Slots: 4})
			n++
		}
		f.Services = append(f.Services, s)
	}
	return f
}

func changedFleet(f fleet.Fleet, revision uint64, queue int) fleet.Fleet {
	f.Revision = revision
	f.Services = append([]fleet.Service(nil), f.Services...)
	f.Services[0].Queue = queue
	return f
}
