package guard

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/limpetdock/limpetdock/internal/attempt"
	"github.com/limpetdock/limpetdock/internal/config"
	"github.com/limpetdock/limpetdock/internal/wire"
)

// Counters count what the guard decided about attempts. Safe for concurrent use.
type Counters struct {
	// Refused counts copies that weren't run: stale, conflicting, or with a key
	// that isn't taken.
	Refused atomic.Uint64
	// Sealed counts attempts that were sealed before they ran.
	Sealed atomic.Uint64
	// Redelivered counts kept answers that were given again.
	Redelivered atomic.Uint64
}

// Attempts gives the number of attempt records and the bytes of kept answers.
func (g *Guard) Attempts() (records, stored int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.attempts.Len()
}

// Seal answers what became of an attempt.
func (g *Guard) Seal(m *wire.Seal) *wire.Sealed {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.doubt()
	state := g.attempts.Seal(attempt.Claim{ID: m.Attempt, Incarnation: m.Incarnation, Tick: m.Tick}, m.AskOnly, g.now())
	if state == wire.AttemptSealed {
		g.Counters.Sealed.Add(1)
	}
	return &wire.Sealed{Incarnation: g.incarnation, Tick: g.Tick(), State: state}
}

// notListed is no time at which the platform showed this VM.
const notListed = time.Duration(math.MinInt64)

// setKeys puts the rules for callers' own keys in force.
func (g *Guard) setKeys(svc *config.Service, vm string) {
	rules := attempt.Keys{Service: svc.Name, Self: vm, Lifetime: svc.KeyLifetime, Addr: g.addr}
	for _, t := range svc.Targets {
		rules.Targets = append(rules.Targets, t.VM)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.attempts.SetKeys(rules, g.now())
	if g.listedAt.IsZero() {
		g.listedAt = time.Now().Round(0)
	}
	if !g.keyed {
		// What was told before could not be weighed by these rules.
		g.keyed, g.listed, g.listedAddr = true, notListed, ""
	}
}

// Listed notes that the platform showed this VM under an address at a time
// since the node's start. The same is told every tick; only what is newer, or of
// another address, counts.
func (g *Guard) Listed(addr string, at time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	newer := at > g.listed
	if !newer && addr == g.listedAddr {
		return
	}
	g.listedAddr = addr
	g.attempts.Confirm(addr, at)
	if newer {
		g.listed = at
		g.listedAt = time.Now().Round(0).Add(at - g.now())
	}
}

// doubt takes the platform's word back when the wall clock says that it is old,
// whatever the guard's own clock says: a hypervisor may have stopped that one.
// The mutex is held.
func (g *Guard) doubt() {
	if time.Now().Round(0).Sub(g.listedAt) > g.attempts.ConfirmWithin() {
		g.attempts.Doubt()
	}
}

// Heard takes news of nodes: a newer incarnation of the own VM means that this
// process has been replaced and lives on beside its replacement.
func (g *Guard) Heard(news []wire.Member) {
	vm := g.vm
	if v := g.view.Load(); v != nil {
		vm = v.Here.VM
	}
	for _, m := range news {
		if m.VM != vm || m.Incarnation == g.incarnation {
			continue
		}
		g.mu.Lock()
		g.attempts.Heard(m.Incarnation, g.now())
		g.mu.Unlock()
	}
}

func (g *Guard) check(c attempt.Claim) (attempt.Verdict, time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.doubt()
	return g.counted(g.attempts.Check(c, g.now()))
}

func (g *Guard) begin(c attempt.Claim) (attempt.Verdict, time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.doubt()
	return g.counted(g.attempts.Begin(c, g.now()))
}

func (g *Guard) counted(v attempt.Verdict, wait time.Duration) (attempt.Verdict, time.Duration) {
	if v != attempt.Start && v != attempt.Known {
		g.Counters.Refused.Add(1)
	}
	return v, wait
}

func (g *Guard) seal(c attempt.Claim) wire.AttemptState {
	return g.Seal(&wire.Seal{Attempt: c.ID, Incarnation: c.Incarnation, Tick: c.Tick}).State
}

func (g *Guard) arrive(id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.attempts.Arrive(id)
}

func (g *Guard) depart(id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.attempts.Depart(id)
}

func (g *Guard) abort(id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.attempts.Abort(id, g.now())
}

func (g *Guard) finish(id string, a *attempt.Answer) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.attempts.Finish(id, a, g.now())
}

func (g *Guard) look(id string) (wire.AttemptState, *attempt.Answer, <-chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.attempts.Look(id)
}
