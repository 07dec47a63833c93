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
	// maxBufferedAnswer is how many bytes of an answer are buffered before any are sent.
	maxBufferedAnswer = 64 << 10
	// copySize is the size of the buffer for copying a streamed answer.
	copySize = 32 << 10
	// maxBufferTime is how long an answer without a length is buffered. It is short because
	// streamed events must reach the caller without a noticeable delay.
	maxBufferTime = 25 * time.Millisecond
)

var buffers = sync.Pool{New: func() any { b := make([]byte, copySize); return &b }}

// deliver writes a backend server's answer to the caller. A small answer is buffered until it
// is complete; if it is truncated, deliver returns an error and writes nothing. If a longer
// answer is truncated, deliver aborts the caller's connection, so that the caller can't
// mistake the part for a complete answer.
func deliver(w http.ResponseWriter, resp *http.Response) *kind.Error {
	r := bufferSmall(resp)
	if r.err != nil {
		return r.err
	}
	return r.deliver(w)
}

// reply is the result of one copy of a request: an answer or an error.
type reply struct {
	resp *http.Response
	// buffered is the complete body of a small answer; nil if the body is still to be read.
	buffered *bytes.Buffer
	err      *kind.Error
	// cancel ends the exchange; it may be nil.
	cancel context.CancelFunc
}

// bufferSmall reads a small answer completely. A longer one is left to be streamed.
func bufferSmall(resp *http.Response) reply {
	if resp.ContentLength < 0 || resp.ContentLength > maxBufferedAnswer {
		return reply{resp: resp}
	}
	defer func() { _ = resp.Body.Close() }()
	held := &bytes.Buffer{}
	held.Grow(int(resp.ContentLength))
	if _, err := io.Copy(held, resp.Body); err != nil {
		return reply{err: kind.New(kind.BackendBroken, "the answer was truncated").WithCause(err)}
	}
	return reply{resp: resp, buffered: held}
}

// usable reports whether the reply is an answer without a server error, so that no other copy
// needs to be waited for.
func (r reply) usable() bool {
	return r.err == nil && r.resp.StatusCode < http.StatusInternalServerError
}

// refused reports whether the target refused the request because it was overloaded.
func (r reply) refused() bool { return r.err != nil && r.err.Kind == kind.Overloaded }

// discard ends the exchange without using its answer.
func (r reply) discard() {
	if r.cancel != nil {
		r.cancel()
	}
	if r.resp != nil {
		_ = r.resp.Body.Close()
	}
}

// deliver writes the answer to the caller.
func (r reply) deliver(w http.ResponseWriter) *kind.Error {
	defer r.discard()
	if r.buffered == nil {
		return deliverStream(w, r.resp)
	}
	writeHeader(w, r.resp)
	if _, err := w.Write(r.buffered.Bytes()); err != nil {
		abort()
	}
	return nil
}

func deliverStream(w http.ResponseWriter, resp *http.Response) *kind.Error {
	h := &delayedWriter{w: w, resp: resp}
	if resp.ContentLength < 0 && !isEventStream(resp) {
		h.timer = time.AfterFunc(maxBufferTime, h.lockAndFlush)
	} else {
		h.lockAndFlush()
	}
	buf := buffers.Get().(*[]byte)
	defer buffers.Put(buf)
	_, err := io.CopyBuffer(struct{ io.Writer }{h}, struct{ io.Reader }{resp.Body}, *buf)
	return h.finish(err)
}

func isEventStream(resp *http.Response) bool {
	return strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream")
}

var errCallerDisconnected = errors.New("the caller has disconnected")

// delayedWriter buffers an answer until it is complete, exceeds maxBufferedAnswer, or
// maxBufferTime has passed.
type delayedWriter struct {
	mu       sync.Mutex
	w        http.ResponseWriter
	resp     *http.Response
	timer    *time.Timer
	buffered []byte
	flushed  bool
	failed   bool
}

func (h *delayedWriter) Write(p []byte) (int, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.flushed && len(h.buffered)+len(p) <= maxBufferedAnswer {
		h.buffered = append(h.buffered, p...)
		return len(p), nil
	}
	h.flush()
	if h.failed {
		return 0, errCallerDisconnected
	}
	n, err := h.w.Write(p)
	if err == nil && h.resp.ContentLength < 0 {
		err = http.NewResponseController(h.w).Flush()
	}
	return n, err
}

func (h *delayedWriter) lockAndFlush() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.flushed {
		return
	}
	h.flush()
	if h.resp.ContentLength < 0 && !h.failed {
		h.failed = http.NewResponseController(h.w).Flush() != nil
	}
}

// flush writes the buffered bytes. The caller must hold mu.
func (h *delayedWriter) flush() {
	if h.flushed {
		return
	}
	h.flushed = true
	writeHeader(h.w, h.resp)
	if len(h.buffered) == 0 {
		return
	}
	if _, err := h.w.Write(h.buffered); err != nil {
		h.failed = true
	}
	h.buffered = nil
}

// finish completes the answer. It returns the error if nothing was written before.
func (h *delayedWriter) finish(err error) *kind.Error {
	if h.timer != nil {
		h.timer.Stop()
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if err != nil && !h.flushed {
		h.flushed = true
		return kind.New(kind.BackendBroken, "the answer was truncated").WithCause(err)
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

// abort closes the caller's connection without completing the response.
func abort() { panic(http.ErrAbortHandler) }

func writeHeader(w http.ResponseWriter, resp *http.Response) {
	headers.StripInternal(resp.Header)
	headers.StripHopByHop(resp.Header)
	headers.Copy(w.Header(), resp.Header)
	w.WriteHeader(resp.StatusCode)
}
