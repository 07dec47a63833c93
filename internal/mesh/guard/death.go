package guard

import (
	"context"
	"encoding/binary"
	"errors"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/limpetdock/limpetdock/internal/death"
	"github.com/limpetdock/limpetdock/internal/kind"
	"github.com/limpetdock/limpetdock/internal/mesh/exchange"
	"github.com/limpetdock/limpetdock/internal/suspect"
)

// investigate finds out whether the backend server died when an exchange broke off, and records that
// the request was in flight. A request that ran alone waits for the result, because the death must be
// recorded before the next suspect runs. Other requests release their slots first. The end of a
// server that is leaving is expected and not counted as a death.
func (g *Guard) investigate(s *requestState, x suspect.Execution, e *kind.Error) *kind.Error {
	var f *exchange.Failure
	if e.Kind != kind.BackendBroken || !errors.As(e.Cause, &f) || !g.accepts() {
		return e
	}
	if s.level != suspect.Suspected {
		go g.recordBreak(s, f, false)
		return e
	}
	alone := x.Alone()
	d, recorded := g.recordBreak(s, f, alone)
	if !recorded || d.Uncertain {
		return e
	}
	died := kind.New(kind.BackendDied, "the backend server died with the request in flight").WithCause(f)
	died.Death, died.Alone = d.ID, alone
	return died
}

// recordBreak records that a request was in flight if the backend server died or may have died, and
// returns the death.
func (g *Guard) recordBreak(s *requestState, f *exchange.Failure, alone bool) (d suspect.Death, recorded bool) {
	finding := g.Backend.Investigate(context.Background(), f)
	fingerprint := s.request.Fingerprint()
	switch {
	case finding.Died():
		d.ID = g.deathID(f.Generation)
		g.noteDeath(d.ID, finding)
		recorded = true
	case finding.Inconclusive():
		d.ID, d.Uncertain = g.uncertainDeathID(), true
		recorded = g.breaks.Broke(fingerprint, g.Now())
	}
	d.Alone, d.Served, d.Trial = alone, g.servedLately(fingerprint), s.onTrial
	g.Log.InfoLimited("exchange with the backend server broke off", "id", s.request.ID, "finding", finding.String(),
		"recorded", recorded, "death", formatDeath(d.ID), "alone", alone, "served", d.Served, "trial", d.Trial)
	if recorded {
		g.Suspects.Died(fingerprint, d)
	}
	return d, recorded
}

// noteDeath records a death of the backend server, which requests that were in flight report one by one.
func (g *Guard) noteDeath(id uint64, finding death.Finding) {
	if g.lastDeath.Swap(id) == id {
		return
	}
	g.deaths.Add(1)
	g.awaitRestart()
	g.Log.Event("backend server died", "death", formatDeath(id), "target", g.targetID(), "finding", finding.String())
}

// maxRestartWait is how long after a death requests are refused while the backend server answers no
// probe. Then they are sent, as they may fare better than probes.
const maxRestartWait = 5 * time.Second

// awaitRestart makes the guard refuse requests until the backend server has answered again. What listens
// for a dead one may accept requests and break them off.
func (g *Guard) awaitRestart() {
	if g.hasHealthPath() {
		g.downUntil.Store(int64(g.Now() + maxRestartWait))
	}
}

// noteAnswer records that the backend server has answered.
func (g *Guard) noteAnswer() {
	g.breaks.Completed(g.Now())
	g.downUntil.Store(0)
}

// awaitsRestart reports whether the backend server has died and not answered since.
func (g *Guard) awaitsRestart() bool { return g.Now() < time.Duration(g.downUntil.Load()) }

// checkRestarted returns a refusal while the backend server is down after a death.
func (g *Guard) checkRestarted() *kind.Error {
	if g.awaitsRestart() {
		return kind.New(kind.Unreachable, "the backend server has died and not answered since")
	}
	return nil
}

// deathID returns an id for the death of a generation that is unique among all nodes.
func (g *Guard) deathID(generation death.Generation) uint64 {
	return g.uniqueID(uint64(generation))
}

// uncertainDeath is the flag by which the ids of uncertain deaths differ from those of generations.
const uncertainDeath = 1 << 63

// uncertainDeathID returns an id for the break of one exchange that is unique among all nodes.
func (g *Guard) uncertainDeathID() uint64 {
	return g.uniqueID(uncertainDeath | g.uncertainDeaths.Add(1))
}

// uniqueID returns an id for a number of this process that is unique among all nodes.
func (g *Guard) uniqueID(number uint64) uint64 {
	var b [16]byte
	binary.BigEndian.PutUint64(b[:8], g.incarnation)
	binary.BigEndian.PutUint64(b[8:], number)
	return xxhash.Sum64(b[:])
}

func formatDeath(id uint64) string { return strconv.FormatUint(id, 16) }

// targetID returns the id of the backend server's registration, or an empty string.
func (g *Guard) targetID() string {
	if v := g.view.Load(); v != nil && v.LocalTarget != nil {
		return v.LocalTarget.ID
	}
	return ""
}
