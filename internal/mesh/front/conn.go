package front

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/limpetdock/limpetdock/internal/mesh"
	"github.com/limpetdock/limpetdock/internal/progress"
	"github.com/limpetdock/limpetdock/internal/readlimit"
	"github.com/limpetdock/limpetdock/internal/stall"
)

const (
	// maxPipelined bounds the requests of one connection that are served concurrently.
	maxPipelined = 16
	// lingerBytes bounds what is read of a connection after its last answer, in bytes. If it were
	// closed with unread bytes it would be reset, and the reset could overtake the answer.
	// unknownLingerBytes applies if the length of what still comes isn't known.
	lingerBytes        = 64 << 20
	unknownLingerBytes = 4 << 20
	// writeTimeout bounds how long writing an answer may make no progress: a caller that
	// doesn't read for longer takes up memory.
	writeTimeout = 10 * time.Second
	// readBuffer is large enough for most requests' headers, in bytes.
	readBuffer = 4 << 10
)

// lingerPace is the least pace of what arrives after the last answer.
var lingerPace = progress.Pace{StallTimeout: time.Second, BytesPerSecond: 256}

// conn is one connection of a caller.
type conn struct {
	server *Server
	raw    net.Conn
	reader *readlimit.Reader
	// ctx ends when the caller disconnects or the server ends.
	ctx context.Context
	// answers holds the answers to be written, in the order of their requests.
	answers chan *pending
	mu      sync.Mutex
	// outstanding counts requests that were read and not answered yet; answered is
	// signalled when one is answered.
	outstanding int
	answered    sync.Cond
	// finished is true once no more requests are read. closing is true if the answer being
	// written is the last one, and lingering once it has been written.
	finished, closing bool
	// inBody is true while the body of a request is read.
	inBody    bool
	lingering atomic.Bool
}

// pending is a request whose answer is outstanding.
type pending struct {
	method string
	done   chan *Response
	// close is true if the caller asked for the connection to be closed.
	close bool
}

func (s *Server) serve(raw net.Conn) {
	ctx, cancel := context.WithCancelCause(s.ctx)
	defer cancel(nil)
	c := &conn{
		server: s, raw: raw, ctx: ctx, answers: make(chan *pending, maxPipelined),
		reader: readlimit.NewReader(raw, readBuffer),
	}
	c.answered.L = &c.mu
	if !s.add(c) {
		_ = raw.Close()
		return
	}
	defer s.remove(c)
	written := make(chan struct{})
	go func() {
		defer close(written)
		c.write()
	}()
	c.read()
	// The caller has disconnected, or everything is answered.
	cancel(mesh.ErrCallerLeft)
	close(c.answers)
	<-written
	_ = raw.Close()
}

// read reads requests until the caller disconnects or the last answer is known.
func (c *conn) read() {
	for {
		r, bad := c.readRequest()
		if bad != nil {
			c.endReading(bad)
			return
		}
		if !c.beginRequest() {
			// The answer would follow one that closes the connection. The caller sends the
			// request again over another connection.
			r.release()
			c.finish()
			c.drainInput(lingerBytes)
			return
		}
		c.server.Counts.Requests.Add(1)
		p := &pending{method: r.Method, done: make(chan *Response, 1), close: r.closeAfter}
		go func() {
			defer r.release()
			p.done <- c.server.handler.Serve(c.ctx, r)
		}()
		c.answers <- p
		if p.close {
			c.finish()
			c.drainInput(lingerBytes)
			return
		}
	}
}

// endReading answers a request that can't be read, where possible, and waits until all answers
// have been sent or the caller disconnects.
func (c *conn) endReading(bad *badRequest) {
	if bad.answered() && c.beginRequest() {
		c.server.Counts.Rejected.Add(1)
		p := &pending{method: http.MethodGet, done: make(chan *Response, 1), close: true}
		p.done <- c.server.handler.Reject(bad.status)
		c.answers <- p
	}
	limit := unknownLingerBytes
	if bad.declared {
		limit = lingerBytes
	}
	if bad != disconnected && c.finish() {
		c.drainInput(limit)
	}
}

// finish makes the last answer close the connection. It returns false if all answers have been
// sent and the connection was to stay open.
func (c *conn) finish() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.finished = true
	return c.outstanding > 0 || c.closing
}

// beginRequest admits a request unless the connection is about to be closed.
func (c *conn) beginRequest() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing {
		return false
	}
	c.outstanding++
	c.server.active.Add(1)
	return true
}

// drainInput reads until the caller closes the connection, or has sent limit bytes or nothing more after the last
// answer, so that the caller receives the last answers. finish must have been called.
func (c *conn) drainInput(limit int) {
	// A deadline that was set for the last request doesn't apply to the answers.
	if c.raw.SetReadDeadline(time.Time{}) != nil {
		return
	}
	if c.lingering.Load() && c.raw.SetReadDeadline(time.Now().Add(lingerPace.StallTimeout)) != nil {
		return
	}
	scratch := make([]byte, 1<<10)
	for !c.lingering.Load() {
		if _, err := c.raw.Read(scratch); err != nil {
			return
		}
	}
	start := time.Now()
	for total := 0; total < limit; {
		next := lingerPace.NextTimeout(int64(total), time.Since(start))
		if next == 0 || c.raw.SetReadDeadline(time.Now().Add(next)) != nil {
			return
		}
		n, err := c.raw.Read(scratch)
		if err != nil {
			return
		}
		total += n
	}
}

// write writes the answers in order.
func (c *conn) write() {
	w := bufio.NewWriter(stall.NewWriter(c.raw, writeTimeout))
	failed := false
	for p := range c.answers {
		resp := <-p.done
		if errors.Is(context.Cause(c.ctx), mesh.ErrCallerLeft) {
			c.server.Counts.Abandoned.Add(1)
			failed = true
		}
		if failed {
			c.endRequest()
			continue
		}
		last := c.isLast(p)
		err := writeResponse(w, p.method, resp, last, c.server.handler.Limits().IdleTimeout)
		if err == nil {
			err = w.Flush()
		}
		c.endRequest()
		if err != nil {
			failed = true
			_ = c.raw.Close()
			continue
		}
		if last || c.done() {
			failed = true
			c.linger()
		}
	}
}

// isLast reports whether the connection is closed after an answer; from then on no requests
// are admitted on it. Unless the caller asked for it, it is closed only if no other request was
// admitted on it.
func (c *conn) isLast(p *pending) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if p.close || c.outstanding == 1 && (c.finished || c.server.draining.Load()) {
		c.closing = true
	}
	return c.closing
}

// done reports whether every request has been answered and no more are read.
func (c *conn) done() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.finished && c.outstanding == 0
}

func (c *conn) endRequest() {
	c.mu.Lock()
	c.outstanding--
	c.mu.Unlock()
	c.answered.Broadcast()
	c.server.active.Add(-1)
}

// awaited returns how many requests wait for their answers; 0 if the caller has disconnected.
func (c *conn) awaited() int {
	if errors.Is(context.Cause(c.ctx), mesh.ErrCallerLeft) {
		return 0
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.outstanding
}

// awaitAnswers waits until every request that was read has been answered. Only then may
// the reading goroutine write to the connection. It returns false if the last answer closes the
// connection.
func (c *conn) awaitAnswers() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.outstanding > 0 {
		c.answered.Wait()
	}
	return !c.closing
}

// linger ends the connection after the last answer, and leaves the caller time to read it.
func (c *conn) linger() {
	c.lingering.Store(true)
	if half, ok := c.raw.(interface{ CloseWrite() error }); ok {
		if half.CloseWrite() == nil && c.raw.SetReadDeadline(time.Now().Add(lingerPace.StallTimeout)) == nil {
			return
		}
	}
	_ = c.raw.Close()
}
