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

// deathProbe bounds the look whether a backend server still listens.
const deathProbe = 200 * time.Millisecond

// deaths counts the ends of the backend server's process. A connection belongs
// to the generation that it was opened in, and ends with that generation's
// process: so all requests that were in flight at a death name the same one,
// and none that came later does. Safe for concurrent use.
type deaths struct{ count atomic.Uint64 }

// generation gives the number of deaths so far.
func (d *deaths) generation() uint64 { return d.count.Load() }

// end notes that the process of a generation has ended; news says that nobody
// had noticed before.
func (d *deaths) end(generation uint64) (news bool) {
	return d.count.CompareAndSwap(generation, generation+1)
}

// brokenOff tells a backend server that died from one that only broke off an
// exchange: a dead one no longer listens. A server restarted within the probe
// is taken for alive unless another request has noticed its death, which costs
// one missed suspicion and no wrong one.
func (g *Guard) brokenOff(p *permit, cause error) *kind.Error {
	generation := p.sentIn()
	if g.deaths.generation() == generation {
		if e := g.probe(cause); e != nil {
			return e
		}
		if g.deaths.end(generation) {
			// What is kept leads to the dead process.
			g.transport.CloseIdleConnections()
		}
	}
	e := kind.New(kind.BackendDied, "the backend server died with the request in flight").Because(cause)
	e.Death = g.deathID(generation + 1)
	return e
}

// probe looks whether the backend server listens. It returns nil if it doesn't.
func (g *Guard) probe(cause error) *kind.Error {
	ctx, cancel := context.WithTimeout(context.Background(), deathProbe)
	defer cancel()
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", g.backend.Host)
	if err == nil {
		_ = conn.Close()
		return kind.New(kind.BackendBroken, "the backend server broke off the exchange").Because(cause)
	}
	if ctx.Err() != nil {
		return kind.New(kind.BackendBroken, "the backend server doesn't answer").Because(cause)
	}
	return nil
}

// deathID names a death so that no two of any nodes are the same.
func (g *Guard) deathID(number uint64) uint64 {
	var b [16]byte
	binary.BigEndian.PutUint64(b[:8], g.incarnation)
	binary.BigEndian.PutUint64(b[8:], number)
	return xxhash.Sum64(b[:])
}

// tellDeath adds to a refusal what the entry needs to note a suspect.
func tellDeath(h http.Header, e *kind.Error) {
	if e.Death == 0 {
		return
	}
	h.Set(headers.Death, strconv.FormatUint(e.Death, 16))
	if e.Alone {
		h.Set(headers.DeathAlone, "1")
	}
}
