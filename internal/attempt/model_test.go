package attempt_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/limpetdock/limpetdock/internal/attempt"
	"github.com/limpetdock/limpetdock/internal/handover"
	"github.com/limpetdock/limpetdock/internal/wire"
)

// The model checks that no operation runs twice, and that a caller who got "not run"
// can rely on it, then and later. It covers copies through two entries with different
// views, messages delayed for any time, exchanges that break before or after they
// arrive, processes that end, are replaced, keep running beside their replacement or
// are cut off from the platform, and revisions that move the homes of keys.

const lifetime = 10 * time.Minute

// process is one incarnation of a VM's guard.
type process struct {
	vm          string
	addr        string
	incarnation uint64
	table       *attempt.Table
	start       time.Duration
	dead, cut   bool
	targets     []string
	lifetime    time.Duration
}

// operation is what a caller asked for: one ticket, key or plain request.
type operation struct {
	class     attempt.Class
	id        string
	first     time.Duration
	ticketFor *process
	tick      uint64
	ids       []string
	runs      int
	notRun    bool
	closed    bool
}

// message is a copy of a request on its way to a process.
type message struct {
	op      *operation
	to      *process
	claim   attempt.Claim
	entry   int
	arrived time.Duration
	// broken is true once the entry has given up the exchange.
	broken bool
	// lifetime is the key lifetime known to the entry.
	lifetime time.Duration
}

type world struct {
	now       time.Duration
	lifetime  time.Duration
	serial    uint64
	targets   []string
	current   map[string]*process
	processes []*process
	// views holds the process that each entry uses for a VM, declared its targets, and
	// identities the identities it has received.
	views      [2]map[string]*process
	declared   [2][]string
	lifetimes  [2]time.Duration
	identities [2]map[string]attempt.Claim
	operations []*operation
	inFlight   []*message
	unresolved []*message
	// keepers, parts and transfers model the handover of key tables.
	keepers   [2]*handover.Keeper
	parts     []*part
	transfers []*transfer
	// unlisted is a process that has started and isn't listed.
	unlisted *process
}

func newWorld() *world {
	w := &world{targets: []string{"a", "b", "c"}, lifetime: lifetime, current: map[string]*process{}}
	for i := range w.keepers {
		w.keepers[i] = handover.NewKeeper(w.token)
	}
	for _, vm := range w.targets {
		w.boot(vm)
	}
	for i := range w.views {
		w.refreshEntry(i)
	}
	return w
}

func (w *world) boot(vm string) {
	p := w.start(vm)
	w.current[vm] = p
	w.refreshProcess(p)
}

// start starts a process that the platform doesn't list yet.
func (w *world) start(vm string) *process {
	w.serial++
	p := &process{vm: vm, incarnation: w.serial, addr: fmt.Sprint("ip", w.serial), start: w.now}
	p.table = attempt.NewTable(p.incarnation)
	w.processes = append(w.processes, p)
	return p
}

func (w *world) at(p *process) time.Duration { return w.now - p.start }

// refreshProcess applies the platform's current state to a process, unless it is cut
// off.
func (w *world) refreshProcess(p *process) {
	if p.dead || p.cut {
		return
	}
	p.targets, p.lifetime = w.targets, w.lifetime
	p.table.SetKeys(attempt.KeyConfig{Service: "s", Self: p.vm, Targets: p.targets, Lifetime: w.lifetime, Addr: p.addr}, w.at(p))
	p.table.Confirm(w.current[p.vm].addr, w.at(p))
}

// refreshEntry updates an entry's view, and the identities of its guards.
func (w *world) refreshEntry(entry int) {
	w.views[entry] = map[string]*process{}
	w.identities[entry] = map[string]attempt.Claim{}
	w.declared[entry], w.lifetimes[entry] = w.targets, w.lifetime
	for vm, p := range w.current {
		w.views[entry][vm] = p
		w.learn(entry, p)
	}
}

func (w *world) learn(entry int, p *process) {
	w.identities[entry][p.vm] = attempt.Claim{Incarnation: p.incarnation, Tick: attempt.Tick(w.at(p))}
}

func (w *world) advance(d time.Duration) {
	const step = 20 * time.Second
	for d > 0 {
		w.now += min(d, step)
		d -= step
		for _, p := range w.processes {
			w.refreshProcess(p)
		}
	}
}

// submit sends a copy of an operation through an entry.
func (w *world) submit(p *operation, entry int, arrived time.Duration, vm string) {
	m := &message{op: p, entry: entry, arrived: arrived, lifetime: w.lifetimes[entry]}
	var id string
	switch p.class {
	case attempt.SingleAttempt:
		w.serial++
		id = fmt.Sprint("try", w.serial)
	case attempt.Ticket:
		vm, id = p.ticketFor.vm, attempt.TicketID(p.id)
	case attempt.Key:
		vm, id = attempt.Home("s", p.id, w.declared[entry]), attempt.KeyID(p.id)
		if w.now-arrived > attempt.MaxKeyDelay {
			return
		}
	}
	m.to = w.views[entry][vm]
	if m.to == nil {
		return
	}
	m.claim = w.identities[entry][vm]
	if p.class == attempt.Ticket {
		m.claim = attempt.Claim{Incarnation: p.ticketFor.incarnation, Tick: p.tick}
	}
	m.claim.ID = id
	p.ids = append(p.ids, id)
	w.inFlight = append(w.inFlight, m)
}

// arrive delivers a message to its process, as the guard does.
func (w *world) arrive(m *message, refused, lost bool) {
	w.inFlight = slices.DeleteFunc(w.inFlight, func(one *message) bool { return one == m })
	if m.to.dead {
		w.fail(m)
		return
	}
	if m.lifetime > m.to.lifetime {
		// Routed under a configuration that the guard doesn't have yet.
		return
	}
	lost = lost || m.broken
	if refused {
		w.refuse(m, lost)
		return
	}
	v, _ := m.to.table.Begin(m.claim, w.at(m.to))
	if v == attempt.Start {
		m.op.runs++
	}
	if lost {
		w.fail(m)
		return
	}
	switch v {
	case attempt.Known:
		if state, _, _ := m.to.table.Lookup(m.claim.ID); state == wire.AttemptSealed {
			w.notRun(m)
		}
	case attempt.Expired:
		w.notRun(m)
	case attempt.Stale:
		w.learn(m.entry, m.to)
		if m.op.class != attempt.Ticket {
			w.submit(m.op, m.entry, m.arrived, m.to.vm)
		}
	}
}

// refuse models a guard without capacity, before anything is recorded.
func (w *world) refuse(m *message, lost bool) {
	if m.op.class != attempt.SingleAttempt {
		if m.to.table.Seal(m.claim, false, w.at(m.to)) != wire.AttemptSealed {
			return
		}
	}
	if lost {
		w.fail(m)
		return
	}
	w.notRun(m)
}

// notRun records the proof that one copy did not run. A plain request may then be sent
// to another target.
func (w *world) notRun(m *message) {
	if m.op.class == attempt.SingleAttempt && w.serial%2 == 0 && m.op.runs == 0 {
		w.submit(m.op, m.entry, m.arrived, w.declared[m.entry][int(w.serial/2)%len(w.declared[m.entry])])
		return
	}
	m.op.notRun = true
	m.op.closed = true
}

func (w *world) fail(m *message) {
	if !m.broken {
		m.broken = true
		w.unresolved = append(w.unresolved, m)
	}
}

// resolve models an entry that asks for the outcome of a copy.
func (w *world) resolve(m *message) {
	w.unresolved = slices.DeleteFunc(w.unresolved, func(one *message) bool { return one == m })
	at := w.views[m.entry][m.to.vm]
	if at == nil || at.dead {
		return
	}
	state := at.table.Seal(m.claim, false, w.at(at))
	reply := &wire.Sealed{Incarnation: at.incarnation, State: state}
	if attempt.NextStep(reply, m.claim.Incarnation) == attempt.RetryElsewhere {
		w.notRun(m)
	}
}

func (w *world) check(t *rapid.T) {
	for _, p := range w.operations {
		if p.runs > 1 {
			t.Fatalf("class %d, id %s ran %d times", p.class, p.id, p.runs)
		}
		if p.notRun && p.runs > 0 {
			t.Fatalf("class %d, id %s ran, but a caller got \"not run\"", p.class, p.id)
		}
	}
}

var pauses = []time.Duration{
	100 * time.Millisecond, time.Second, attempt.MaxKeyDelay, attempt.Window / 2, attempt.Window, 2 * attempt.Window,
	attempt.TicketWindow, lifetime / 2, lifetime, keyRetention,
}

// actions returns the possible next events, drawn by rapid.
func (w *world) actions() map[string]func(*rapid.T) {
	entry := rapid.IntRange(0, 1)
	coin := rapid.Bool()
	return map[string]func(*rapid.T){
		"request": func(t *rapid.T) {
			vm := rapid.SampledFrom(w.targets).Draw(t, "vm")
			w.request(attempt.Class(rapid.IntRange(0, 2).Draw(t, "class")), entry.Draw(t, "entry"), vm)
		},
		"copy": func(t *rapid.T) {
			w.copy(rapid.SampledFrom(or(w.operations)).Draw(t, "operation"), entry.Draw(t, "entry"))
		},
		"arrive": func(t *rapid.T) {
			if len(w.inFlight) > 0 {
				w.arrive(rapid.SampledFrom(w.inFlight).Draw(t, "message"), rapid.IntRange(0, 5).Draw(t, "full") == 0, coin.Draw(t, "lost"))
			}
		},
		"break": func(t *rapid.T) {
			if len(w.inFlight) > 0 {
				w.fail(rapid.SampledFrom(w.inFlight).Draw(t, "message"))
			}
		},
		"resolve": func(t *rapid.T) {
			if len(w.unresolved) > 0 {
				w.resolve(rapid.SampledFrom(w.unresolved).Draw(t, "message"))
			}
		},
		"finish": func(t *rapid.T) {
			p := rapid.SampledFrom(w.processes).Draw(t, "process")
			for _, one := range w.operations {
				for _, id := range one.ids {
					p.table.Finish(id, nil, w.at(p))
				}
			}
		},
		"advance": func(t *rapid.T) { w.advance(rapid.SampledFrom(pauses).Draw(t, "pause")) },
		"replace": func(t *rapid.T) {
			vm := rapid.SampledFrom(w.targets).Draw(t, "vm")
			old := w.current[vm]
			// The old process may keep running, cut off or not.
			old.dead = coin.Draw(t, "dead")
			old.cut = coin.Draw(t, "cut")
			w.boot(vm)
		},
		"cut": func(t *rapid.T) {
			p := rapid.SampledFrom(w.processes).Draw(t, "process")
			p.cut = !p.cut
		},
		"look": func(t *rapid.T) { w.refreshEntry(entry.Draw(t, "entry")) },
		"declare": func(t *rapid.T) {
			all := []string{"a", "b", "c"}
			w.targets = all[:rapid.IntRange(2, 3).Draw(t, "count")]
			w.lifetime = max(w.lifetime, lifetime*time.Duration(rapid.IntRange(1, 2).Draw(t, "lifetime")))
		},
		"": w.check,
	}
}

func or(list []*operation) []*operation {
	if len(list) == 0 {
		return []*operation{nil}
	}
	return list
}

func (w *world) request(class attempt.Class, entry int, vm string) {
	w.serial++
	p := &operation{class: class, id: fmt.Sprint(w.serial), first: w.now}
	if class == attempt.Ticket {
		p.ticketFor = w.current[vm]
		p.tick = attempt.Tick(w.at(p.ticketFor))
	}
	w.operations = append(w.operations, p)
	w.submit(p, entry, w.now, vm)
}

// copy models a caller that sends again while its key is valid, by the lifetime known
// to the entry.
func (w *world) copy(p *operation, entry int) {
	if p == nil || p.class == attempt.SingleAttempt || p.class == attempt.Key && w.now-p.first > w.lifetimes[entry] {
		return
	}
	w.submit(p, entry, w.now, "")
}

func TestNothingRunsTwiceAndNotRunIsTrue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld()
		// Half of the generated worlds are old enough to accept keys from the start.
		if rapid.Bool().Draw(t, "old") {
			w.advance(startDelay)
			w.refreshEntry(0)
			w.refreshEntry(1)
		}
		t.Repeat(w.actions())
	})
}
