package guard

import (
	"context"
	"encoding/binary"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/limpetdock/limpetdock/internal/kind"
	"github.com/limpetdock/limpetdock/internal/mesh/exchange"
)

// cutOffError returns the error for an exchange that broke off after the request was sent: the
// backend server has died, or it only closed the connection. The end of one that is leaving is
// expected and not counted as a death.
func (g *Guard) cutOffError(f *exchange.Failure) *kind.Error {
	if !g.accepts() || !g.Backend.Died(context.Background(), f) {
		return kind.New(kind.BackendBroken, "the exchange with the backend server was cut off after the request was sent").WithCause(f)
	}
	e := kind.New(kind.BackendDied, "the backend server died with the request in flight").WithCause(f)
	e.Death = g.deathID(f.Generation)
	if g.lastDeath.Swap(e.Death) != e.Death {
		g.deaths.Add(1)
		g.Log.Event("backend server died", "death", formatDeath(e.Death), "target", g.targetID(), "in_flight", g.gate.Load().InUse)
	}
	return e
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
