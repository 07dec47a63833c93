package entry

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/limpetdock/limpetdock/internal/headers"
	"github.com/limpetdock/limpetdock/internal/kind"
)

const (
	// maxHeldAnswer is how much of an answer is held back until it is whole.
	maxHeldAnswer = 64 << 10
	// copySize is the size of the buffer that a long answer streams through.
	copySize = 32 << 10
	// holdFor is how long an answer without a length is held back: a stream of
	// events must reach the caller as it comes.
	holdFor = 25 * time.Millisecond
)

var buffers = sync.Pool{New: func() any { b := make([]byte, copySize); return &b }}

// deliver writes a backend server's answer to the caller. A small answer is
// held back until it is whole; one that breaks off before is an error, and
// nothing has been written. A longer one that breaks off aborts the caller's
// connection, so that it can't be taken for whole.
func deliver(w http.ResponseWriter, resp *http.Response) *kind.Error {
	r := hold(resp)
	if r.err != nil {
		return r.err
	}
	return r.deliver(w)
}

// reply is what one copy of a request came to: an answer or an error.
type reply struct {
	resp *http.Response
	// held is the whole body of a small answer; nil when the body is still to be read.
	held *bytes.Buffer
	err  *kind.Error
	// cancel, if there is one, ends the exchange.
	cancel context.CancelFunc
}

// hold reads a small answer whole. A longer one is left to be streamed.
func hold(resp *http.Response) reply {
	if resp.ContentLength < 0 || resp.ContentLength > maxHeldAnswer {
		return reply{resp: resp}
	}
	defer func() { _ = resp.Body.Close() }()
	held := &bytes.Buffer{}
	held.Grow(int(resp.ContentLength))
	if _, err := io.Copy(held, resp.Body); err != nil {
		return reply{err: kind.New(kind.BackendBroken, "the answer broke off").Because(err)}
	}
	return reply{resp: resp, held: held}
}

// good says whether the reply is an answer that holds against one still to come.
func (r reply) good() bool { return r.err == nil && r.resp.StatusCode < http.StatusInternalServerError }

// refused says whether the target was too full for the request.
func (r reply) refused() bool { return r.err != nil && r.err.Kind == kind.Overloaded }

// drop ends the exchange without using its answer.
func (r reply) drop() {
	if r.cancel != nil {
		r.cancel()
	}
	if r.resp != nil {
		_ = r.resp.Body.Close()
	}
}

// deliver writes the answer to the caller.
func (r reply) deliver(w http.ResponseWriter) *kind.Error {
	defer r.drop()
	if r.held == nil {
		return deliverStream(w, r.resp)
	}
	writeHeader(w, r.resp)
	if _, err := w.Write(r.held.Bytes()); err != nil {
		abort()
	}
	return nil
}

func deliverStream(w http.ResponseWriter, resp *http.Response) *kind.Error {
	h := &holder{w: w, resp: resp}
	if resp.ContentLength < 0 && !isEventStream(resp) {
		h.timer = time.AfterFunc(holdFor, h.release)
	} else {
		h.release()
	}
	buf := buffers.Get().(*[]byte)
	defer buffers.Put(buf)
	_, err := io.CopyBuffer(struct{ io.Writer }{h}, struct{ io.Reader }{resp.Body}, *buf)
	return h.end(err)
}

func isEventStream(resp *http.Response) bool {
	return strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream")
}

var errCallerGone = errors.New("the caller has gone")

// holder holds an answer back until it is whole, too long, or held long enough.
type holder struct {
	mu       sync.Mutex
	w        http.ResponseWriter
	resp     *http.Response
	timer    *time.Timer
	held     []byte
	released bool
	failed   bool
}

func (h *holder) Write(p []byte) (int, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.released && len(h.held)+len(p) <= maxHeldAnswer {
		h.held = append(h.held, p...)
		return len(p), nil
	}
	h.flush()
	if h.failed {
		return 0, errCallerGone
	}
	n, err := h.w.Write(p)
	if err == nil && h.resp.ContentLength < 0 {
		err = http.NewResponseController(h.w).Flush()
	}
	return n, err
}

func (h *holder) release() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.flush()
}

// flush writes what is held. The mutex is held.
func (h *holder) flush() {
	if h.released {
		return
	}
	h.released = true
	writeHeader(h.w, h.resp)
	if len(h.held) == 0 {
		return
	}
	if _, err := h.w.Write(h.held); err != nil {
		h.failed = true
	}
	h.held = nil
}

// end finishes the answer. An error before anything was written is returned.
func (h *holder) end(err error) *kind.Error {
	if h.timer != nil {
		h.timer.Stop()
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if err != nil && !h.released {
		h.released = true
		return kind.New(kind.BackendBroken, "the answer broke off").Because(err)
	}
	if err != nil {
		abort()
	}
	h.flush()
	if h.failed {
		abort()
	}
	return nil
}

// abort closes the caller's connection without a clean end.
func abort() { panic(http.ErrAbortHandler) }

func writeHeader(w http.ResponseWriter, resp *http.Response) {
	headers.StripInternal(resp.Header)
	headers.StripHop(resp.Header)
	headers.Copy(w.Header(), resp.Header)
	w.WriteHeader(resp.StatusCode)
}
