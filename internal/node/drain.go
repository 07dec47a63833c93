package node

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
)

// drainer is an http.Handler that can tell its clients to close their
// connections. A server that just closed idle ones would race with requests on
// their way: the client would see a reset and could not tell whether its
// request ran. Told with an answer, it closes them itself (RFC 9112, section 9.6).
type drainer struct {
	handler  http.Handler
	draining atomic.Bool
	mu       sync.Mutex
	open     int
	none     chan struct{}
}

func newDrainer(h http.Handler) *drainer { return &drainer{handler: h} }

// ServeHTTP hands the request on.
func (d *drainer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if d.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	d.handler.ServeHTTP(w, r)
}

// connState counts open connections; it is a server's ConnState hook.
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
	if d.open == 0 && d.none != nil {
		close(d.none)
		d.none = nil
	}
}

// drain tells clients to close, and waits until all have or ctx ends.
func (d *drainer) drain(ctx context.Context) {
	d.draining.Store(true)
	d.mu.Lock()
	if d.open == 0 {
		d.mu.Unlock()
		return
	}
	none := make(chan struct{})
	d.none = none
	d.mu.Unlock()
	select {
	case <-none:
	case <-ctx.Done():
	}
}
