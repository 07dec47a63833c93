package guard

import (
	"context"
	"encoding/binary"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/limpetdock/limpetdock/internal/headers"
	"github.com/limpetdock/limpetdock/internal/kind"
)

// probeTimeout bounds the check whether a backend server still listens.
const probeTimeout = 200 * time.Millisecond

// deaths counts how often the backend server's process has ended. A connection belongs
// to the generation it was opened in and ends with that generation's process. So all
// requests in flight at a death report the same death, and no later request does. Safe
// for concurrent use.
type deaths struct{ count atomic.Uint64 }

// generation returns the number of deaths so far.
func (d *deaths) generation() uint64 { return d.count.Load() }

// end records that the process of a generation has ended. It returns true for the
// first caller that reports this death.
func (d *deaths) end(generation uint64) (first bool) {
	return d.count.CompareAndSwap(generation, generation+1)
}

// connectionError distinguishes a backend server that died from one that only closed
// the connection: a dead one no longer listens. A server that is restarted before the
// probe is classified as alive unless another request has noticed its death. That
// misses a suspicion but never raises a wrong one.
func (g *Guard) connectionError(p *permit, cause error) *kind.Error {
	generation := p.sentGeneration()
	if g.deaths.generation() == generation {
		if e := g.probe(cause); e != nil {
			return e
		}
		if g.deaths.end(generation) {
			// The idle connections lead to the dead process.
			g.transport.CloseIdleConnections()
		}
	}
	e := kind.New(kind.BackendDied, "the backend server died with the request in flight").WithCause(cause)
	e.Death = g.deathID(generation + 1)
	return e
}

// probe checks whether the backend server listens. It returns nil if it doesn't.
func (g *Guard) probe(cause error) *kind.Error {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", g.backend.Host)
	if err == nil {
		_ = conn.Close()
		return kind.New(kind.BackendBroken, "the backend server closed the connection before the answer was complete").WithCause(cause)
	}
	if ctx.Err() != nil {
		return kind.New(kind.BackendBroken, "the backend server closed the connection and did not accept a new one in time").WithCause(cause)
	}
	return nil
}

// deathID returns an id for a death that is unique among all nodes.
func (g *Guard) deathID(number uint64) uint64 {
	var b [16]byte
	binary.BigEndian.PutUint64(b[:8], g.incarnation)
	binary.BigEndian.PutUint64(b[8:], number)
	return xxhash.Sum64(b[:])
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
}
