package guard

import (
	"context"
	"errors"
	"strconv"

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
	finding := g.Backend.Investigate(context.Background(), f, g.mayServe)
	fingerprint := s.request.Fingerprint()
	switch {
	case finding.Died():
		d.ID = g.deathIDs.Of(f.Generation)
		g.noteDeath(d.ID, finding)
		recorded = true
	case finding.Inconclusive():
		d.ID, d.Uncertain = g.deathIDs.Uncertain(), true
		recorded = g.breaks.Broke(fingerprint, g.Now())
	}
	d.Alone, d.Served, d.Trial = alone, g.servedLately(fingerprint), s.onTrial
	g.Log.InfoLimited("exchange with the backend server broke off", "id", s.request.ID, "finding", finding.String(), "cause", f.Error(),
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
	g.slowdown.forgetSlowness()
	g.Log.Event("backend server died", "death", formatDeath(id), "target", g.targetID(), "finding", finding.String())
}

func formatDeath(id uint64) string { return strconv.FormatUint(id, 16) }

// targetID returns the id of the backend server's registration, or an empty string.
func (g *Guard) targetID() string {
	if v := g.view.Load(); v != nil && v.LocalTarget != nil {
		return v.LocalTarget.ID
	}
	return ""
}
