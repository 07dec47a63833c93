package node

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
)

// drainer is an http.Handler that can ask its clients to close their connections. If
// the server closed idle connections itself, it would race with requests in transit:
// the client would see a reset and could not know whether its request ran. After a
// response with "Connection: close" the client closes the connection itself (RFC
// 9112, section 9.6).
type drainer struct {
	handler  http.Handler
	draining atomic.Bool
	// active counts the requests in flight.
	active    atomic.Int64
	mu        sync.Mutex
	open      int
	allClosed chan struct{}
}

func newDrainer(h http.Handler) *drainer { return &drainer{handler: h} }

// ServeHTTP passes the request to the wrapped handler.
func (d *drainer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if d.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	d.active.Add(1)
	defer d.active.Add(-1)
	d.handler.ServeHTTP(w, r)
}

// connState counts open connections. It is the server's ConnState hook.
func (d *drainer) connState(_ net.Conn, state http.ConnState) {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch state {
	case http.StateNew:
		d.open++
	case http.StateClosed, http.StateHijacked:
		d.open--
	default:
		return
	}
	if d.open == 0 && d.allClosed != nil {
		close(d.allClosed)
		d.allClosed = nil
	}
}

// drain asks clients to close their connections and waits until all are closed or
// ctx is done.
func (d *drainer) drain(ctx context.Context) {
	d.draining.Store(true)
	d.mu.Lock()
	if d.open == 0 {
		d.mu.Unlock()
		return
	}
	allClosed := make(chan struct{})
	d.allClosed = allClosed
	d.mu.Unlock()
	select {
	case <-allClosed:
	case <-ctx.Done():
	}
}
