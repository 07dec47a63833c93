package guard

import (
	"context"
	"encoding/binary"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/limpetdock/limpetdock/internal/headers"
	"github.com/limpetdock/limpetdock/internal/kind"
)

// deathProbe bounds the look whether a backend server still listens.
const deathProbe = 200 * time.Millisecond

// deaths counts the ends of the backend server's process, so that all requests
// that were in flight at one of them name the same death. Safe for concurrent use.
type deaths struct {
	mu    sync.Mutex
	count uint64
	dead  bool
}

// dieOnce gives the number of the death that is being noticed.
func (d *deaths) dieOnce() uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.dead {
		d.dead = true
		d.count++
	}
	return d.count
}

// live notes that the backend server answers again.
func (d *deaths) live() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.dead = false
}

// brokenOff tells a backend server that died from one that only broke off an
// exchange: a dead one no longer listens. A server restarted within the probe
// is taken for alive, which costs one missed suspicion and no wrong one.
func (g *Guard) brokenOff(cause error) *kind.Error {
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
	e := kind.New(kind.BackendDied, "the backend server died with the request in flight").Because(cause)
	e.Death = g.deathID(g.deaths.dieOnce())
	return e
}

// deathID names a death so that no two of any nodes are the same.
func (g *Guard) deathID(number uint64) uint64 {
	var b [16]byte
	binary.BigEndian.PutUint64(b[:8], g.incarnation)
	binary.BigEndian.PutUint64(b[8:], number)
	return xxhash.Sum64(b[:])
}

// tellDeath adds to a refusal what the entry needs to note a suspect.
func tellDeath(h http.Header, r *http.Request, e *kind.Error) {
	if e.Death == 0 {
		return
	}
	h.Set(headers.Death, strconv.FormatUint(e.Death, 16))
	if r.Header.Get(headers.Suspect) != "" {
		h.Set(headers.DeathAlone, "1")
	}
}
