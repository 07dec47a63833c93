package guard

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/limpetdock/limpetdock/internal/attempt"
	"github.com/limpetdock/limpetdock/internal/config"
	"github.com/limpetdock/limpetdock/internal/wire"
)

// Counters counts the guard's decisions about attempts. Safe for concurrent use.
type Counters struct {
	// Refused counts copies that weren't run: stale, conflicting, or with a key that
	// isn't accepted.
	Refused atomic.Uint64
	// Sealed counts attempts that were sealed before they ran.
	Sealed atomic.Uint64
	// Redelivered counts stored answers that were sent again.
	Redelivered atomic.Uint64
}

// Attempts returns the number of attempt records and the bytes of stored answers.
func (g *Guard) Attempts() (records, stored int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.attempts.Len()
}

// Seal returns the outcome of an attempt. An attempt that hasn't started is sealed,
// unless the request only asks.
func (g *Guard) Seal(m *wire.Seal) *wire.Sealed {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.expireConfirmation()
	state := g.attempts.Seal(attempt.Claim{ID: m.Attempt, Incarnation: m.Incarnation, Tick: m.Tick}, m.AskOnly, g.now())
	if state == wire.AttemptSealed {
		g.Counters.Sealed.Add(1)
	}
	return &wire.Sealed{Incarnation: g.incarnation, Tick: g.Tick(), State: state}
}

// notListed marks that the platform has not listed this VM yet.
const notListed = time.Duration(math.MinInt64)

// setKeys applies the rules for callers' own keys.
func (g *Guard) setKeys(svc *config.Service, vm string) {
	rules := attempt.KeyConfig{Service: svc.Name, Self: vm, Lifetime: svc.KeyLifetime, Addr: g.addr}
	for _, t := range svc.Targets {
		rules.Targets = append(rules.Targets, t.VM)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.attempts.SetKeys(rules, g.now())
	if g.listedAt.IsZero() {
		g.listedAt = time.Now().Round(0)
	}
	if !g.hasKeyRules {
		// Earlier listings could not be checked against these rules.
		g.hasKeyRules, g.listed, g.listedAddr = true, notListed, ""
	}
}

// ConfirmListed records that the platform listed this VM under an address at a time
// since the node's start. The same listing is reported on every tick; only a newer one
// or one with another address has an effect.
func (g *Guard) ConfirmListed(addr string, at time.Duration) {
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

// expireConfirmation discards the platform's last confirmation if it is too old by the
// wall clock, whatever the guard's own clock shows: that one may have been stopped by
// a hypervisor. The mutex must be held.
func (g *Guard) expireConfirmation() {
	if time.Now().Round(0).Sub(g.listedAt) > g.attempts.ConfirmationTTL() {
		g.attempts.ExpireConfirmation()
	}
}

// HandleMembers processes the member list of an update. A newer incarnation of the own
// VM means that this process has been replaced and is still running beside its
// replacement.
func (g *Guard) HandleMembers(members []wire.Member) {
	vm := g.vm
	if v := g.view.Load(); v != nil {
		vm = v.Here.VM
	}
	for _, m := range members {
		if m.VM != vm || m.Incarnation == g.incarnation {
			continue
		}
		g.mu.Lock()
		g.attempts.NoteIncarnation(m.Incarnation, g.now())
		g.mu.Unlock()
	}
}

func (g *Guard) check(c attempt.Claim) (attempt.Verdict, time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.expireConfirmation()
	return g.countRefused(g.attempts.Check(c, g.now()))
}

func (g *Guard) begin(c attempt.Claim) (attempt.Verdict, time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.expireConfirmation()
	return g.countRefused(g.attempts.Begin(c, g.now()))
}

func (g *Guard) countRefused(v attempt.Verdict, wait time.Duration) (attempt.Verdict, time.Duration) {
	if v != attempt.Start && v != attempt.Known {
		g.Counters.Refused.Add(1)
	}
	return v, wait
}

func (g *Guard) seal(c attempt.Claim) wire.AttemptState {
	return g.Seal(&wire.Seal{Attempt: c.ID, Incarnation: c.Incarnation, Tick: c.Tick}).State
}

func (g *Guard) addPresent(id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.attempts.AddPresent(id)
}

func (g *Guard) removePresent(id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.attempts.RemovePresent(id)
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

func (g *Guard) lookup(id string) (wire.AttemptState, *attempt.Answer, <-chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.attempts.Lookup(id)
}
