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
	// idleLeast is how long a connection must have been idle before it is closed
	// for another. It is many round trips: a request that is on its way when its
	// connection is closed is rare, and its entry finds out that it wasn't run.
	idleLeast = time.Second
	// ceiling times the limit is how many connections may be open while those
	// over the limit are being refused. Beyond it they are closed unanswered.
	ceiling = 2
)

// room bounds the connections of a guard's port to what its target is declared
// to accept. Subsets keep below that on average; when a region spills over or
// views differ, entries that have no connection yet would find the target
// out of memory or descriptors. So the longest idle connection gives way to a new
// one, and when all are busy, the new one's request is refused as not run, which
// sends it to another target. Nothing in flight is cut. Safe for concurrent use.
type room struct {
	limit    func() int
	counters *serverCounters
	mu       sync.Mutex
	conns    map[net.Conn]*held
	// idle are the idle connections, the longest idle first.
	idle *list.List
	// over counts the connections that came when there was no room.
	over int
}

// held is what is known of an open connection.
type held struct {
	conn  net.Conn
	over  bool
	since time.Time
	// idle is its place among the idle ones, nil for a busy one.
	idle *list.Element
}

func newRoom(limit func() int, c *serverCounters) *room {
	return &room{limit: limit, counters: c, conns: map[net.Conn]*held{}, idle: list.New()}
}

// bound makes a port keep the limit.
func (r *room) bound(p *httpPort) {
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

// handler refuses new work on connections that came when there was no room,
// unless there is by now.
func (r *room) handler(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		conn, _ := req.Context().Value(connKey{}).(net.Conn)
		if !r.admits(conn) {
			w.Header().Set("Connection", "close")
			req = req.WithContext(guard.NoRoom(req.Context()))
		}
		h.ServeHTTP(w, req)
	})
}

// admits says whether a connection is one of those that there is room for.
func (r *room) admits(c net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	h := r.conns[c]
	if h == nil || !h.over {
		return true
	}
	if len(r.conns)-r.over >= r.limit() && !r.makeRoom() {
		r.counters.noRoom.Add(1)
		return false
	}
	h.over = false
	r.over--
	return true
}

// connState is the server's ConnState hook. A new connection counts as idle until
// its first byte, so that those who only connect can't take the room.
func (r *room) connState(c net.Conn, s http.ConnState) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch s {
	case http.StateNew:
		r.enter(c)
	case http.StateIdle:
		r.rest(r.conns[c])
	case http.StateActive:
		r.busy(r.conns[c])
	case http.StateClosed, http.StateHijacked:
		r.leave(c)
	}
}

func (r *room) enter(c net.Conn) {
	limit := r.limit()
	h := &held{conn: c, over: len(r.conns)-r.over >= limit && !r.makeRoom()}
	r.conns[c] = h
	r.rest(h)
	if h.over {
		r.over++
	}
	if len(r.conns) > ceiling*limit {
		r.counters.refused.Add(1)
		_ = c.Close()
	}
}

// makeRoom closes connections that have been idle long enough, the longest idle
// first, until one of those that there was room for has gone.
func (r *room) makeRoom() bool {
	for first := r.idle.Front(); first != nil; first = r.idle.Front() {
		h := first.Value.(*held)
		if time.Since(h.since) < idleLeast {
			return false
		}
		// The server notices by its own read, and calls the hook again, which must not
		// count it twice.
		r.leave(h.conn)
		r.counters.madeRoom.Add(1)
		_ = h.conn.Close()
		if !h.over {
			return true
		}
	}
	return false
}

func (r *room) rest(h *held) {
	if h == nil {
		return
	}
	r.busy(h)
	h.since = time.Now()
	h.idle = r.idle.PushBack(h)
}

func (r *room) busy(h *held) {
	if h != nil && h.idle != nil {
		r.idle.Remove(h.idle)
		h.idle = nil
	}
}

func (r *room) leave(c net.Conn) {
	h := r.conns[c]
	if h == nil {
		return
	}
	r.busy(h)
	if h.over {
		r.over--
	}
	delete(r.conns, c)
}
