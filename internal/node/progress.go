package node

import (
	"context"
	"io"
	"net/http"
	"time"
)

const (
	// stallLimit is the timeout for one read of a body or one write of a piece of an
	// answer. A reader slower than about 2 KB/s counts as stalled.
	stallLimit = 30 * time.Second
	// pieceBytes is the number of bytes of an answer that are written under one
	// deadline.
	pieceBytes = 64 << 10
	// minRate is the minimum rate of a request body, in bytes per second of time spent
	// in Read, after a grace period of stallLimit. Without it, a sender of a single byte
	// now and then could hold a connection and a slot forever.
	minRate = 256
)

// aLongTimeAgo is a deadline that ends a Read in progress.
var aLongTimeAgo = time.Unix(1, 0)

// watchProgress limits the time that each read of a request body and each write of
// an answer may take. The exchange as a whole has no limit, because long uploads are
// legitimate.
func watchProgress(h http.Handler, c *serverCounters) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		control := http.NewResponseController(w)
		if r.Body != nil && r.Body != http.NoBody {
			r.Body = &watchedBody{ReadCloser: r.Body, ctx: r.Context(), control: control, counters: c}
			// The end of the context doesn't end a Read by itself.
			defer context.AfterFunc(r.Context(), func() { _ = control.SetReadDeadline(aLongTimeAgo) })()
		}
		h.ServeHTTP(&watchedWriter{ResponseWriter: w, control: control, counters: c}, r)
		// Data that is still buffered is written after the handler has returned, possibly
		// long after its last Write. The server clears the deadline after that.
		_ = control.SetWriteDeadline(time.Now().Add(stallLimit))
	})
}

// watchedBody extends the connection's read deadline as the body progresses.
type watchedBody struct {
	io.ReadCloser
	ctx      context.Context
	control  *http.ResponseController
	counters *serverCounters
	read     int64
	// waited is the time spent in Read. Time that the backend server spends between two
	// reads is not counted against the sender.
	waited time.Duration
}

func (b *watchedBody) Read(p []byte) (int, error) {
	started := time.Now()
	allowance := time.Duration(b.read/minRate) * time.Second
	// Connections without deadline support, as in tests, are read without a deadline.
	_ = b.control.SetReadDeadline(started.Add(min(stallLimit, stallLimit+allowance-b.waited)))
	if b.ctx.Err() != nil {
		return 0, context.Cause(b.ctx)
	}
	n, err := b.ReadCloser.Read(p)
	b.read += int64(n)
	b.waited += time.Since(started)
	if err != nil {
		// The server continues reading in the background to detect that the caller
		// disconnects. An old deadline would abort the request while it runs.
		_ = b.control.SetReadDeadline(time.Time{})
		b.counters.countStall(err)
	}
	return n, err
}

// watchedWriter extends the connection's write deadline as the answer progresses.
type watchedWriter struct {
	http.ResponseWriter
	control  *http.ResponseController
	counters *serverCounters
}

// Write writes p in pieces, so that the time limit doesn't depend on the length of
// p.
func (w *watchedWriter) Write(p []byte) (int, error) {
	written := 0
	for len(p)-written > pieceBytes {
		n, err := w.writePiece(p[written : written+pieceBytes])
		written += n
		if err != nil {
			return written, err
		}
	}
	n, err := w.writePiece(p[written:])
	return written + n, err
}

func (w *watchedWriter) writePiece(p []byte) (int, error) {
	_ = w.control.SetWriteDeadline(time.Now().Add(stallLimit))
	n, err := w.ResponseWriter.Write(p)
	if err != nil {
		w.counters.countStall(err)
	}
	return n, err
}

// Unwrap returns the underlying writer, for http.ResponseController.
func (w *watchedWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }
