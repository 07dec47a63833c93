package node

import (
	"io"
	"net/http"
	"time"
)

const (
	// stallLimit is how long a read of a body or a write of a piece of an answer may
	// take: a reader slower than about 2 KB/s counts as one that stands still.
	stallLimit = 30 * time.Second
	// pieceBytes is how much of an answer is written under one limit.
	pieceBytes = 64 << 10
	// minRate is the least rate of a request's body, in bytes per second of
	// waiting for it, after stallLimit of grace. A sender that gives a byte
	// now and then would otherwise hold a connection, and a slot, for good.
	minRate = 256
)

// watchProgress bounds how long each read of a request's body and each write of
// an answer may wait. The whole exchange has no limit: long uploads are wanted.
func watchProgress(h http.Handler, c *serverCounters) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		control := http.NewResponseController(w)
		if r.Body != nil && r.Body != http.NoBody {
			r.Body = &watchedBody{ReadCloser: r.Body, control: control, counters: c}
		}
		h.ServeHTTP(&watchedWriter{ResponseWriter: w, control: control, counters: c}, r)
		// What is still buffered is written once the handler has returned, perhaps
		// long after its last Write; the server clears the deadline after that.
		_ = control.SetWriteDeadline(time.Now().Add(stallLimit))
	})
}

// watchedBody moves the connection's read deadline on with the body.
type watchedBody struct {
	io.ReadCloser
	control  *http.ResponseController
	counters *serverCounters
	read     int64
	// waited is the time spent in Read: what the backend server takes between
	// two of them is no fault of the sender's.
	waited time.Duration
}

func (b *watchedBody) Read(p []byte) (int, error) {
	begun := time.Now()
	earned := time.Duration(b.read/minRate) * time.Second
	// A connection that takes no deadline, as in a test, is read without one.
	_ = b.control.SetReadDeadline(begun.Add(min(stallLimit, stallLimit+earned-b.waited)))
	n, err := b.ReadCloser.Read(p)
	b.read += int64(n)
	b.waited += time.Since(begun)
	if err != nil {
		// The server reads on in the background to notice a caller that leaves;
		// an old deadline would end the request while it runs.
		_ = b.control.SetReadDeadline(time.Time{})
		b.counters.countStall(err)
	}
	return n, err
}

// watchedWriter moves the connection's write deadline on with the answer.
type watchedWriter struct {
	http.ResponseWriter
	control  *http.ResponseController
	counters *serverCounters
}

// Write writes p in pieces, so that the limit doesn't depend on its length.
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

// Unwrap gives the writer to http.ResponseController.
func (w *watchedWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }
