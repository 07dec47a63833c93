package node

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/limpetdock/limpetdock/internal/kind"
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
	active atomic.Int64
	mu     sync.Mutex
	open   int
	conns  map[*drainConn]bool
	// closing is true once no further requests are read.
	closing   bool
	allClosed chan struct{}
}

func newDrainer(h http.Handler) *drainer { return &drainer{handler: h, conns: map[*drainConn]bool{}} }

// ServeHTTP passes the request to the wrapped handler.
func (d *drainer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	d.active.Add(1)
	defer d.active.Add(-1)
	out := &drainWriter{ResponseWriter: w, drainer: d}
	returned := false
	defer func() {
		if !returned {
			out.answerPanic()
		}
	}()
	d.handler.ServeHTTP(out, r)
	returned = true
	out.beginAnswer()
}

// drainWriter asks the client to close its connection if the drain has begun before the
// answer.
type drainWriter struct {
	http.ResponseWriter
	drainer *drainer
	begun   bool
}

// WriteHeader writes the header of the answer.
func (w *drainWriter) WriteHeader(status int) {
	if status >= http.StatusOK {
		w.beginAnswer()
	}
	w.ResponseWriter.WriteHeader(status)
}

// Write writes a part of the answer.
func (w *drainWriter) Write(p []byte) (int, error) {
	w.beginAnswer()
	return w.ResponseWriter.Write(p)
}

// Unwrap returns the underlying writer, for http.ResponseController.
func (w *drainWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// answerPanic answers a request whose handler panicked, unless an answer has begun: the
// server then closes the connection in the middle of it.
func (w *drainWriter) answerPanic() {
	if w.begun {
		return
	}
	w.Header().Set("Connection", "close")
	kind.Write(w, kind.New(kind.OutcomeUnknown, "the node failed while it handled the request"))
	// The server doesn't send what it has buffered.
	_ = http.NewResponseController(w).Flush()
}

func (w *drainWriter) beginAnswer() {
	if !w.begun && w.drainer.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	w.begun = true
}

// connState tracks open connections. It is the server's ConnState hook.
func (d *drainer) connState(conn net.Conn, state http.ConnState) {
	c, _ := conn.(*drainConn)
	d.mu.Lock()
	defer d.mu.Unlock()
	switch state {
	case http.StateNew:
		d.open++
		if c != nil {
			d.conns[c] = true
			d.closeIfClosing(c)
		}
	case http.StateIdle:
		if c != nil {
			c.requestEnded()
			d.closeIfClosing(c)
		}
		return
	case http.StateClosed, http.StateHijacked:
		d.open--
		delete(d.conns, c)
	default:
		return
	}
	if d.open == 0 && d.allClosed != nil {
		close(d.allClosed)
		d.allClosed = nil
	}
}

func (d *drainer) closeIfClosing(c *drainConn) {
	if d.closing {
		c.stopReading()
	}
}

// stopReading closes each connection that begins no request shortly, now or after its
// request in flight.
func (d *drainer) stopReading() {
	d.draining.Store(true)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.closing = true
	for c := range d.conns {
		c.stopReading()
	}
}

// drain asks clients to close their connections and waits until all are closed or
// ctx is done; it returns the error of ctx then.
func (d *drainer) drain(ctx context.Context) error {
	d.draining.Store(true)
	d.mu.Lock()
	if d.open == 0 {
		d.mu.Unlock()
		return nil
	}
	allClosed := make(chan struct{})
	d.allClosed = allClosed
	d.mu.Unlock()
	select {
	case <-allClosed:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
