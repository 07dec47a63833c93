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

// The story: a manager confirms an order, and the confirmation runs twice, or
// she is told that it didn't run while it did or does later. The world below
// plays what can lead there: copies through two entries with different views,
// messages held up for any time, exchanges that break before or after they
// arrive, processes that end, are replaced, live on beside their replacement,
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

// promise is what the caller was promised: one ticket, key or plain request.
type promise struct {
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
	p       *promise
	to      *process
	claim   attempt.Claim
	entry   int
	arrived time.Duration
	// broken says that the entry has given the exchange up already.
	broken bool
	// lifetime is the one that the entry knows.
	lifetime time.Duration
}

type world struct {
	now       time.Duration
	lifetime  time.Duration
	serial    uint64
	targets   []string
	current   map[string]*process
	processes []*process
	// views are the entries' own: which process they reach a VM at, what they
	// declared, and the identity that they learnt of it.
	views    [2]map[string]*process
	declared [2][]string
	lifes    [2]time.Duration
	learnt   [2]map[string]attempt.Claim
	promises []*promise
	flying   []*message
	open     []*message
	// keepers, parts and takes are of the hand-over of key tables.
	keepers [2]*handover.Keeper
	parts   []*part
	takes   []*take
	// stray is a process that has started and isn't listed.
	stray *process
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
		w.look(i)
	}
	return w
}

func (w *world) boot(vm string) {
	p := w.start(vm)
	w.current[vm] = p
	w.read(p)
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

// read is a process that hears the platform.
func (w *world) read(p *process) {
	if p.dead || p.cut {
		return
	}
	p.targets, p.lifetime = w.targets, w.lifetime
	p.table.SetKeys(attempt.Keys{Service: "s", Self: p.vm, Targets: p.targets, Lifetime: w.lifetime, Addr: p.addr}, w.at(p))
	p.table.Confirm(w.current[p.vm].addr, w.at(p))
}

// look refreshes an entry's view, and what it knows of its guards.
func (w *world) look(entry int) {
	w.views[entry] = map[string]*process{}
	w.learnt[entry] = map[string]attempt.Claim{}
	w.declared[entry], w.lifes[entry] = w.targets, w.lifetime
	for vm, p := range w.current {
		w.views[entry][vm] = p
		w.learn(entry, p)
	}
}

func (w *world) learn(entry int, p *process) {
	w.learnt[entry][p.vm] = attempt.Claim{Incarnation: p.incarnation, Tick: attempt.Tick(w.at(p))}
}

func (w *world) advance(d time.Duration) {
	const step = 20 * time.Second
	for d > 0 {
		w.now += min(d, step)
		d -= step
		for _, p := range w.processes {
			w.read(p)
		}
	}
}

// submit sends a copy of a promise through an entry.
func (w *world) submit(p *promise, entry int, arrived time.Duration, vm string) {
	m := &message{p: p, entry: entry, arrived: arrived, lifetime: w.lifes[entry]}
	var id string
	switch p.class {
	case attempt.Try:
		w.serial++
		id = fmt.Sprint("try", w.serial)
	case attempt.Ticket:
		vm, id = p.ticketFor.vm, attempt.TicketID(p.id)
	case attempt.Key:
		vm, id = attempt.Home("s", p.id, w.declared[entry]), attempt.KeyID(p.id)
		if w.now-arrived > attempt.KeyDelay {
			return
		}
	}
	m.to = w.views[entry][vm]
	if m.to == nil {
		return
	}
	m.claim = w.learnt[entry][vm]
	if p.class == attempt.Ticket {
		m.claim = attempt.Claim{Incarnation: p.ticketFor.incarnation, Tick: p.tick}
	}
	m.claim.ID = id
	p.ids = append(p.ids, id)
	w.flying = append(w.flying, m)
}

// arrive hands a message to its process, as the guard does.
func (w *world) arrive(m *message, refused, lost bool) {
	w.flying = slices.DeleteFunc(w.flying, func(one *message) bool { return one == m })
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
		m.p.runs++
	}
	if lost {
		w.fail(m)
		return
	}
	switch v {
	case attempt.Known:
		if state, _, _ := m.to.table.Look(m.claim.ID); state == wire.AttemptSealed {
			w.notRun(m)
		}
	case attempt.Expired:
		w.notRun(m)
	case attempt.Stale:
		w.learn(m.entry, m.to)
		if m.p.class != attempt.Ticket {
			w.submit(m.p, m.entry, m.arrived, m.to.vm)
		}
	}
}

// refuse is a guard without room, before anything is recorded.
func (w *world) refuse(m *message, lost bool) {
	if m.p.class != attempt.Try {
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

// notRun is proof about one copy. A plain request may go elsewhere on it.
func (w *world) notRun(m *message) {
	if m.p.class == attempt.Try && w.serial%2 == 0 && m.p.runs == 0 {
		w.submit(m.p, m.entry, m.arrived, w.declared[m.entry][int(w.serial/2)%len(w.declared[m.entry])])
		return
	}
	m.p.notRun = true
	m.p.closed = true
}

func (w *world) fail(m *message) {
	if !m.broken {
		m.broken = true
		w.open = append(w.open, m)
	}
}

// resolve is the entry that asks what became of a copy.
func (w *world) resolve(m *message) {
	w.open = slices.DeleteFunc(w.open, func(one *message) bool { return one == m })
	at := w.views[m.entry][m.to.vm]
	if at == nil || at.dead {
		return
	}
	state := at.table.Seal(m.claim, false, w.at(at))
	reply := &wire.Sealed{Incarnation: at.incarnation, State: state}
	if attempt.Next(reply, m.claim.Incarnation) == attempt.Elsewhere {
		w.notRun(m)
	}
}

func (w *world) check(t *rapid.T) {
	for _, p := range w.promises {
		if p.runs > 1 {
			t.Fatalf("class %d, id %s ran %d times", p.class, p.id, p.runs)
		}
		if p.notRun && p.runs > 0 {
			t.Fatalf("class %d, id %s ran, and a caller was told it didn't", p.class, p.id)
		}
	}
}

var pauses = []time.Duration{
	100 * time.Millisecond, time.Second, attempt.KeyDelay, attempt.Window / 2, attempt.Window, 2 * attempt.Window,
	attempt.TicketWindow, lifetime / 2, lifetime, keptFor,
}

// actions are what may happen next, each drawn by rapid.
func (w *world) actions() map[string]func(*rapid.T) {
	entry := rapid.IntRange(0, 1)
	coin := rapid.Bool()
	return map[string]func(*rapid.T){
		"request": func(t *rapid.T) {
			vm := rapid.SampledFrom(w.targets).Draw(t, "vm")
			w.request(attempt.Class(rapid.IntRange(0, 2).Draw(t, "class")), entry.Draw(t, "entry"), vm)
		},
		"copy": func(t *rapid.T) {
			w.copy(rapid.SampledFrom(or(w.promises)).Draw(t, "promise"), entry.Draw(t, "entry"))
		},
		"arrive": func(t *rapid.T) {
			if len(w.flying) > 0 {
				w.arrive(rapid.SampledFrom(w.flying).Draw(t, "message"), rapid.IntRange(0, 5).Draw(t, "full") == 0, coin.Draw(t, "lost"))
			}
		},
		"break": func(t *rapid.T) {
			if len(w.flying) > 0 {
				w.fail(rapid.SampledFrom(w.flying).Draw(t, "message"))
			}
		},
		"resolve": func(t *rapid.T) {
			if len(w.open) > 0 {
				w.resolve(rapid.SampledFrom(w.open).Draw(t, "message"))
			}
		},
		"finish": func(t *rapid.T) {
			p := rapid.SampledFrom(w.processes).Draw(t, "process")
			for _, one := range w.promises {
				for _, id := range one.ids {
					p.table.Finish(id, nil, w.at(p))
				}
			}
		},
		"advance": func(t *rapid.T) { w.advance(rapid.SampledFrom(pauses).Draw(t, "pause")) },
		"replace": func(t *rapid.T) {
			vm := rapid.SampledFrom(w.targets).Draw(t, "vm")
			old := w.current[vm]
			// A zombie lives on, cut off or not.
			old.dead = coin.Draw(t, "dead")
			old.cut = coin.Draw(t, "cut")
			w.boot(vm)
		},
		"cut": func(t *rapid.T) {
			p := rapid.SampledFrom(w.processes).Draw(t, "process")
			p.cut = !p.cut
		},
		"look": func(t *rapid.T) { w.look(entry.Draw(t, "entry")) },
		"declare": func(t *rapid.T) {
			all := []string{"a", "b", "c"}
			w.targets = all[:rapid.IntRange(2, 3).Draw(t, "count")]
			w.lifetime = max(w.lifetime, lifetime*time.Duration(rapid.IntRange(1, 2).Draw(t, "lifetime")))
		},
		"": w.check,
	}
}

func or(list []*promise) []*promise {
	if len(list) == 0 {
		return []*promise{nil}
	}
	return list
}

func (w *world) request(class attempt.Class, entry int, vm string) {
	w.serial++
	p := &promise{class: class, id: fmt.Sprint(w.serial), first: w.now}
	if class == attempt.Ticket {
		p.ticketFor = w.current[vm]
		p.tick = attempt.Tick(w.at(p.ticketFor))
	}
	w.promises = append(w.promises, p)
	w.submit(p, entry, w.now, vm)
}

// copy is the caller that sends again, as long as its key lives, as declared
// where it asks.
func (w *world) copy(p *promise, entry int) {
	if p == nil || p.class == attempt.Try || p.class == attempt.Key && w.now-p.first > w.lifes[entry] {
		return
	}
	w.submit(p, entry, w.now, "")
}

func TestNothingRunsTwiceAndNotRunIsTrue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld()
		// Half of the worlds are old enough to take keys from the start.
		if rapid.Bool().Draw(t, "old") {
			w.advance(waitFor)
			w.look(0)
			w.look(1)
		}
		t.Repeat(w.actions())
	})
}
