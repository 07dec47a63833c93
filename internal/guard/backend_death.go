package guard

import (
	"context"
	"net/http"
	"strconv"

	"github.com/limpetdock/limpetdock/internal/headers"
	"github.com/limpetdock/limpetdock/internal/kind"
)

// connectionError distinguishes a backend server that died, or may have died, from one that only
// closed the connection.
func (g *Guard) connectionError(p *permit, cause error) *kind.Error {
	broken := kind.New(kind.BackendBroken, "the backend server closed the connection before the answer was complete").WithCause(cause)
	conn := p.sentOn()
	if conn == nil {
		return broken
	}
	// The generation is read first, as the connection of a process that lives on may be assigned to the
	// next one.
	generation := conn.Generation()
	finding := g.detector.Investigate(context.Background(), conn)
	switch {
	case finding.Died():
		g.transport.CloseIdleConnections()
		e := kind.New(kind.BackendDied, "the backend server died with the request in flight").WithCause(cause)
		e.Death = g.deathIDs.Of(generation)
		return e
	case finding.Inconclusive() && g.breaks.Broke(p.key, g.now()):
		broken.Death, broken.DeathUncertain = g.deathIDs.Uncertain(), true
	}
	return broken
}

// addDeathHeaders adds the headers that the entry needs to record a suspect to a
// refusal.
func addDeathHeaders(h http.Header, e *kind.Error) {
	if e.Death == 0 {
		return
	}
	h.Set(headers.Death, strconv.FormatUint(e.Death, 16))
	if e.Alone {
		h.Set(headers.DeathAlone, "1")
	}
	if e.DeathUncertain {
		h.Set(headers.DeathUncertain, "1")
	}
}
