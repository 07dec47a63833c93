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
	hop       = 10 * time.Millisecond
	timeout   = time.Second
	watchHold = 20 * time.Second
)

var errDown = errors.New("down")

// value is one state of a platform key, and when it was published.
type value struct {
	version uint64
	text    []byte
	at      time.Duration
}

// world joins the States of many nodes by links and a platform that a test can
// break, in a time of its own.
type world struct {
	t       testing.TB
	now     time.Duration
	rnd     *rand.Rand
	hosts   []*host
	byAddr  map[string]*host
	pending []pending
	version uint64
	values  map[string][]value
	vms     []platform.VMList
	// cut says that nothing passes from one VM to another.
	cut func(from, to *host) bool
	// down and asOf are what is wrong with the platform for a zone: no answer,
	// or the state of an earlier time.
	down  func(zone string) bool
	asOf  func(zone string) time.Duration
	calls int
	// second counts the platform calls of each second.
	second map[time.Duration]int
	bytes  int
}

// host is one VM with its node.
type host struct {
	core.Self
	state   *core.State
	seed    uint64
	born    time.Duration
	dead    bool
	frozen  bool
	events  []core.Event
	seen    core.BackendSeen
	view    *pick.View
	best    config.Version
	sent    map[string]int
	addr    string
	logs    []string
	waiting []func() bool
	// bytes were sent by the host's node, and busy is how long its ticks took.
	bytes int
	busy  time.Duration
}

// pending is an event on its way to a process of a host.
type pending struct {
	at    time.Duration
	to    *host
	state *core.State
	run   func()
}

func newWorld(t testing.TB, f fleet.Fleet, seed uint64) *world {
	w := &world{
		t: t, rnd: rand.New(rand.NewPCG(seed, 1)), byAddr: map[string]*host{}, values: map[string][]value{},
		second: map[time.Duration]int{},
		cut:    func(_, _ *host) bool { return false },
		down:   func(string) bool { return false },
		asOf:   func(string) time.Duration { return 1 << 62 },
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

// start starts a host's process, with an empty memory.
func (w *world) start(h *host) {
	h.Incarnation += 10_000
	h.dead, h.frozen, h.born, h.view = false, false, w.now, nil
	h.events, h.waiting = nil, nil
	h.best = config.Version{}
	h.state = core.New(h.Self, h.seed+h.Incarnation)
}

func (w *world) publish(f fleet.Fleet) {
	pub, err := f.Print()
	require.NoError(w.t, err)
	for _, doc := range append(pub.Services, pub.Index) {
		w.put(doc.Key, doc.Text)
	}
}

func (w *world) put(key string, text []byte) {
	w.version++
	w.values[key] = append(w.values[key], value{w.version, text, w.now})
}

// listVMs publishes the VM list; states override "live", "" leaves a VM out.
func (w *world) listVMs(states map[string]platform.VMState) {
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

func (w *world) read(zone, key string) (value, error) {
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

// later runs f in a host's process after a time, unless that process has ended.
func (w *world) later(h *host, after time.Duration, f func()) {
	w.pending = append(w.pending, pending{w.now + after, h, h.state, f})
}

// run lets time pass.
func (w *world) run(d time.Duration) {
	for end := w.now + d; w.now < end; {
		w.step()
	}
}

// until lets time pass until a condition holds, and gives how long it took.
func (w *world) until(limit time.Duration, what string, holds func() bool) time.Duration {
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

func (w *world) step() {
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

// each does n things, those of large fleets on several processors. The States
// share nothing, so it makes no difference to what happens.
func (w *world) each(n int, f func(i int)) {
	const share = 100
	var wg sync.WaitGroup
	for from := 0; from < n; from += share {
		part := func() {
			for i := from; i < min(from+share, n); i++ {
				f(i)
			}
		}
		if n <= share {
			part()
			return
		}
		wg.Go(part)
	}
	wg.Wait()
}

func (w *world) tick(h *host) []core.Command {
	waiting := h.waiting
	h.waiting = nil
	for _, ready := range waiting {
		if !ready() {
			h.waiting = append(h.waiting, ready)
		}
	}
	events := append(h.events, h.seen)
	h.events = nil
	start := time.Now()
	defer func() { h.busy += time.Since(start) }()
	return h.state.Tick(core.Input{Now: w.now - h.born, Events: events})
}

func (w *world) do(h *host, cmd core.Command) {
	switch c := cmd.(type) {
	case core.Publish:
		v := c.View.Config.Index.Version
		require.Falsef(w.t, h.best.Newer(v), "%s went back from %v to %v", h.VM, h.best, v)
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
		w.ask(h, c.Peer, &wire.Fetch{Digest: c.Digest}, func(m wire.Message, err error) core.Event {
			doc, _ := m.(*wire.Document)
			return core.IndexRead{Text: text(doc), Peer: c.Peer, Want: c.Digest, Err: empty(doc, err)}
		})
	case core.FetchVMs:
		w.ask(h, c.Peer, &wire.FetchVMs{}, func(_ wire.Message, err error) core.Event {
			if err != nil {
				return core.VMsRead{Peer: c.Peer, Err: err}
			}
			return core.VMsRead{Peer: c.Peer, List: w.byAddr[c.Peer].state.VMs()}
		})
	case core.SendGossip:
		w.ask(h, c.Addr, c.News, func(m wire.Message, err error) core.Event {
			if err != nil {
				return core.GossipFailed{VM: c.VM}
			}
			return core.GossipHeard{News: m.(*wire.Gossip), Addr: c.Addr}
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

// watch answers once ready gives an event, or when the platform's hold ends.
func (w *world) watch(h *host, hold time.Duration, ready func(last bool) core.Event) {
	w.calls++
	w.second[w.now.Truncate(time.Second)]++
	end := w.now + hold
	h.waiting = append(h.waiting, func() bool {
		e := ready(w.now >= end)
		if e != nil {
			h.events = append(h.events, e)
		}
		return e != nil
	})
}

func (w *world) readIndex(h *host, c core.ReadIndex) {
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

func (w *world) watchVMs(h *host, c core.WatchVMs) {
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

func (w *world) fetchDocument(h *host, c core.FetchDocument) {
	if c.Peer == "" {
		w.watch(h, 0, func(bool) core.Event {
			v, err := w.read(h.Zone, c.Entry.Key)
			return core.DocumentRead{Entry: c.Entry, Text: v.text, Err: err}
		})
		return
	}
	w.ask(h, c.Peer, &wire.Fetch{Digest: c.Entry.Digest}, func(m wire.Message, err error) core.Event {
		doc, _ := m.(*wire.Document)
		return core.DocumentRead{Entry: c.Entry, Peer: c.Peer, Text: text(doc), Err: empty(doc, err)}
	})
}

// ask carries a message to a peer and its answer back.
func (w *world) ask(h *host, addr string, m wire.Message, event func(wire.Message, error) core.Event) {
	w.count(h, m)
	lost := func() { w.later(h, timeout, func() { h.events = append(h.events, event(nil, errDown)) }) }
	peer := w.byAddr[addr]
	if peer == nil || peer.dead || peer.frozen || w.cut(h, peer) {
		lost()
		return
	}
	state := h.state
	w.later(peer, hop, func() {
		reply := answer(peer, m)
		w.count(peer, reply)
		if w.cut(peer, h) || h.state != state {
			lost()
			return
		}
		w.later(h, hop, func() { h.events = append(h.events, event(reply, nil)) })
	})
}

func answer(h *host, m wire.Message) wire.Message {
	switch m := m.(type) {
	case *wire.Gossip:
		h.events = append(h.events, core.GossipHeard{News: m})
		return h.state.News()
	case *wire.Fetch:
		return &wire.Document{Digest: m.Digest, Text: h.state.Document(m.Digest)}
	}
	return &wire.VMs{}
}

func (w *world) count(h *host, m wire.Message) {
	frame, err := wire.Encode(m)
	require.NoError(w.t, err)
	w.bytes += len(frame)
	h.bytes += len(frame)
}

// inForce says whether a revision is in force on every node that runs.
func (w *world) inForce(revision uint64) func() bool {
	return func() bool {
		for _, h := range w.hosts {
			if !h.dead && (h.view == nil || h.view.Config.Index.Version.Revision != revision) {
				return false
			}
		}
		return true
	}
}

// aFleet declares services with targets spread over zones, three regions.
func aFleet(revision uint64, zones, services, targets int) fleet.Fleet {
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

func changed(f fleet.Fleet, revision uint64, queue int) fleet.Fleet {
	f.Revision = revision
	f.Services = append([]fleet.Service(nil), f.Services...)
	f.Services[0].Queue = queue
	return f
}
