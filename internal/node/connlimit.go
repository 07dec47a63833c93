package node

import (
	"container/list"
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/limpetdock/limpetdock/internal/guard"
)

const (
	// minIdle is how long a connection must have been idle before it may be closed in
	// favour of another. It is many round trips, so a request is rarely in transit when
	// its connection is closed; in that case its entry learns that it wasn't run.
	minIdle = time.Second
	// hardLimitFactor times the limit is the maximum number of open connections,
	// including those over the limit whose requests are being refused. Connections
	// beyond it are closed without an answer.
	hardLimitFactor = 2
)

// connLimiter limits the connections of a guard's port to the number that its target
// is declared to accept. Subsetting keeps the number below the limit on average.
// When a region spills over or views differ, entries without a connection could
// otherwise exhaust the target's memory or file descriptors. A new connection
// therefore replaces the one that has been idle longest. If all are busy, the
// request on the new connection is refused as not run, and its entry sends it to
// another target. Requests in flight are never cut. connLimiter is safe for
// concurrent use.
type connLimiter struct {
	limit    func() int
	counters *serverCounters
	mu       sync.Mutex
	conns    map[net.Conn]*trackedConn
	// idle lists the idle connections, longest idle first.
	idle *list.List
	// over counts the open connections that were accepted over the limit.
	over int
}

// trackedConn is the state of an open connection.
type trackedConn struct {
	conn  net.Conn
	over  bool
	since time.Time
	// idle is the connection's element in the idle list, nil while it is busy.
	idle *list.Element
}

func newConnLimiter(limit func() int, c *serverCounters) *connLimiter {
	return &connLimiter{limit: limit, counters: c, conns: map[net.Conn]*trackedConn{}, idle: list.New()}
}

// attach applies the limit to a port.
func (r *connLimiter) attach(p *httpPort) {
	before := p.server.ConnState
	p.server.ConnState = func(c net.Conn, s http.ConnState) {
		before(c, s)
		r.connState(c, s)
	}
	p.server.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, c)
	}
	p.server.Handler = r.handler(p.server.Handler)
}

type connKey struct{}

// handler refuses new requests on connections that were accepted over the limit,
// unless the connection fits within the limit by now.
func (r *connLimiter) handler(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		conn, _ := req.Context().Value(connKey{}).(net.Conn)
		if !r.admits(conn) {
			w.Header().Set("Connection", "close")
			req = req.WithContext(guard.WithoutCapacity(req.Context()))
		}
		h.ServeHTTP(w, req)
	})
}

// admits reports whether a connection is within the limit.
func (r *connLimiter) admits(c net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	h := r.conns[c]
	if h == nil || !h.over {
		return true
	}
	if len(r.conns)-r.over >= r.limit() && !r.evictIdle() {
		r.counters.allBusy.Add(1)
		return false
	}
	h.over = false
	r.over--
	return true
}

// connState is the server's ConnState hook. A new connection counts as idle until
// its first byte, so that clients which only connect can't use up the limit.
func (r *connLimiter) connState(c net.Conn, s http.ConnState) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch s {
	case http.StateNew:
		r.add(c)
	case http.StateIdle:
		r.markIdle(r.conns[c])
	case http.StateActive:
		r.markBusy(r.conns[c])
	case http.StateClosed, http.StateHijacked:
		r.remove(c)
	}
}

func (r *connLimiter) add(c net.Conn) {
	limit := r.limit()
	h := &trackedConn{conn: c, over: len(r.conns)-r.over >= limit && !r.evictIdle()}
	r.conns[c] = h
	r.markIdle(h)
	if h.over {
		r.over++
	}
	if len(r.conns) > hardLimitFactor*limit {
		r.counters.refused.Add(1)
		_ = c.Close()
	}
}

// evictIdle closes connections that have been idle for at least minIdle, longest
// idle first, until it has closed one that counted towards the limit. It reports
// whether it did.
func (r *connLimiter) evictIdle() bool {
	for first := r.idle.Front(); first != nil; first = r.idle.Front() {
		h := first.Value.(*trackedConn)
		if time.Since(h.since) < minIdle {
			return false
		}
		if !closeUnused(h.conn) {
			r.markBusy(h)
			continue
		}
		// The server detects the close in its own read and calls the hook again; the
		// connection must not be subtracted twice.
		r.remove(h.conn)
		r.counters.idleClosed.Add(1)
		if !h.over {
			return true
		}
	}
	return false
}

// closeUnused closes a connection unless a request is being read from it.
func closeUnused(c net.Conn) bool {
	if d, ok := c.(*drainConn); ok {
		return d.closeUnused()
	}
	_ = c.Close()
	return true
}

func (r *connLimiter) markIdle(h *trackedConn) {
	if h == nil {
		return
	}
	r.markBusy(h)
	h.since = time.Now()
	h.idle = r.idle.PushBack(h)
}

func (r *connLimiter) markBusy(h *trackedConn) {
	if h != nil && h.idle != nil {
		r.idle.Remove(h.idle)
		h.idle = nil
	}
}

func (r *connLimiter) remove(c net.Conn) {
	h := r.conns[c]
	if h == nil {
		return
	}
	r.markBusy(h)
	if h.over {
		r.over--
	}
	delete(r.conns, c)
}
