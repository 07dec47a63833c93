package guard

import (
	"context"
	"encoding/binary"
	"errors"
	"strconv"

	"github.com/cespare/xxhash/v2"

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
		go g.recordDeath(s, f, false)
		return e
	}
	alone := x.Alone()
	death := g.recordDeath(s, f, alone)
	if death == 0 {
		return e
	}
	died := kind.New(kind.BackendDied, "the backend server died with the request in flight").WithCause(f)
	died.Death, died.Alone = death, alone
	return died
}

// recordDeath records that a request was in flight if the backend server died, and returns the id of
// the death, or 0.
func (g *Guard) recordDeath(s *requestState, f *exchange.Failure, alone bool) uint64 {
	if !g.Backend.Died(context.Background(), f) {
		return 0
	}
	death := g.deathID(f.Generation)
	if g.lastDeath.Swap(death) != death {
		g.deaths.Add(1)
		g.Log.Event("backend server died", "death", formatDeath(death), "target", g.targetID())
	}
	fingerprint := s.request.Fingerprint()
	g.Suspects.Died(fingerprint, suspect.Death{ID: death, Alone: alone, Served: g.servedLately(fingerprint), Trial: s.onTrial})
	g.Log.InfoLimited("request was in flight when the backend server died", "id", s.request.ID, "death", formatDeath(death), "alone", alone)
	return death
}

// deathID returns an id for the death of a generation that is unique among all nodes.
func (g *Guard) deathID(generation exchange.Generation) uint64 {
	var b [16]byte
	binary.BigEndian.PutUint64(b[:8], g.incarnation)
	binary.BigEndian.PutUint64(b[8:], uint64(generation))
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
