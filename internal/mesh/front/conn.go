package front

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/limpetdock/limpetdock/internal/stall"
)

const (
	// maxAhead bounds the requests of one connection that are served at a time.
	maxAhead = 16
	// lingerFor is how long a connection is read on after its last answer for each
	// piece that still comes. Closed with unread bytes it would be reset, and the reset
	// could overtake the answer. lingerBytes bounds the whole, in bytes.
	lingerFor   = time.Second
	lingerBytes = 64 << 20
	// writeTimeout bounds how long the writing of an answer may stand still: a caller
	// that doesn't read for longer holds memory for nothing.
	writeTimeout = 10 * time.Second
	// readBuffer holds most requests' headers, in bytes.
	readBuffer = 4 << 10
)

// conn is one connection of a caller.
type conn struct {
	server *Server
	raw    net.Conn
	reader *bufio.Reader
	header *headerLimit
	// ctx ends when the caller leaves.
	ctx    context.Context
	cancel context.CancelFunc
	// answers are those to be written, in order of their requests.
	answers chan *pending
	mu      sync.Mutex
	// ahead counts requests that were taken and not answered yet; answered is told when
	// one is.
	ahead    int
	answered sync.Cond
	// closing says that the answer being written is the last one, and lingering that
	// it is written.
	closing   bool
	lingering atomic.Bool
}

// pending is a request whose answer is to come.
type pending struct {
	method string
	done   chan *Response
	// close says that the caller asked for the connection to end.
	close bool
}

func (s *Server) serve(raw net.Conn) {
	ctx, cancel := context.WithCancel(context.Background())
	c := &conn{
		server: s, raw: raw, ctx: ctx, cancel: cancel, answers: make(chan *pending, maxAhead),
		header: &headerLimit{conn: raw, left: -1},
	}
	c.answered.L = &c.mu
	c.reader = bufio.NewReaderSize(c.header, readBuffer)
	s.add(c)
	defer s.remove(c)
	written := make(chan struct{})
	go func() {
		defer close(written)
		c.write()
	}()
	c.read()
	// Nobody sends any more, so nobody waits: answers under way are cut short.
	cancel()
	close(c.answers)
	<-written
	_ = raw.Close()
}

// read takes requests until the caller leaves or the last answer is decided.
func (c *conn) read() {
	for {
		r, bad := c.readRequest()
		if bad != nil {
			if bad.status == 0 || !c.begin() {
				return
			}
			c.server.Counts.Rejected.Add(1)
			p := &pending{method: http.MethodGet, done: make(chan *Response, 1), close: true}
			p.done <- c.server.handler.Reject(bad.status)
			c.answers <- p
			c.drainInput()
			return
		}
		if !c.begin() {
			// Its answer would come behind one that ends the connection; the caller
			// sends it again elsewhere.
			c.drainInput()
			return
		}
		c.server.Counts.Requests.Add(1)
		p := &pending{method: r.Method, done: make(chan *Response, 1), close: r.last}
		go func() { p.done <- c.server.handler.Serve(c.ctx, r) }()
		c.answers <- p
		if p.close {
			c.drainInput()
			return
		}
	}
}

// begin takes a request, unless the connection is about to end.
func (c *conn) begin() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing || !c.server.begin() {
		return false
	}
	c.ahead++
	return true
}

// drainInput reads until the caller closes or sends nothing more, so that it gets the
// last answers.
func (c *conn) drainInput() {
	var scratch [1 << 10]byte
	for left := lingerBytes; left > 0; {
		n, err := c.raw.Read(scratch[:])
		if err != nil {
			return
		}
		if !c.lingering.Load() {
			continue
		}
		left -= n
		if c.raw.SetReadDeadline(time.Now().Add(lingerFor)) != nil {
			return
		}
	}
}

// write writes the answers in order.
func (c *conn) write() {
	w := bufio.NewWriter(stall.NewWriter(c.raw, writeTimeout))
	failed := false
	for p := range c.answers {
		var resp *Response
		select {
		case resp = <-p.done:
		case <-c.ctx.Done():
			// The caller has left; what is being served ends by itself.
			c.server.Counts.Left.Add(1)
			resp = <-p.done
			failed = true
		}
		if failed {
			c.end()
			continue
		}
		last := c.last(p)
		err := writeResponse(w, p.method, resp, last, c.server.handler.Limits().IdleTimeout)
		if err == nil {
			err = w.Flush()
		}
		c.end()
		if err != nil {
			failed = true
			_ = c.raw.Close()
			continue
		}
		if last {
			failed = true
			c.finish()
		}
	}
}

// last says whether the connection ends with an answer, and then takes no more
// requests. It ends only when no other request was taken on it.
func (c *conn) last(p *pending) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing {
		return true
	}
	if !p.close && !c.server.draining.Load() {
		return false
	}
	if c.ahead > 1 && !p.close {
		return false
	}
	c.closing = true
	return true
}

func (c *conn) end() {
	c.mu.Lock()
	c.ahead--
	c.mu.Unlock()
	c.answered.Broadcast()
	c.server.active.Add(-1)
}

// awaitAnswers waits until every request that was taken is answered. Only then may the
// goroutine that reads write to the connection.
func (c *conn) awaitAnswers() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.ahead > 0 {
		c.answered.Wait()
	}
}

// finish ends the connection after the last answer, leaving the caller time to read it.
func (c *conn) finish() {
	c.lingering.Store(true)
	if half, ok := c.raw.(interface{ CloseWrite() error }); ok {
		if half.CloseWrite() == nil && c.raw.SetReadDeadline(time.Now().Add(lingerFor)) == nil {
			return
		}
	}
	_ = c.raw.Close()
}
