// Package exchange speaks HTTP/1.1 to the backend server beside the node, over
// connections that it keeps. It knows of each exchange whether a byte of the
// request was sent, and takes only the answer that echoes the request's own id:
// a backend server may answer twice, or late, on a connection that is used again.
package exchange

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// maxStray is how many answers to other requests are skipped before a
	// connection is given up. One duplicate is usual; more are a fault.
	maxStray = 3
	// maxAnswer bounds an answer that is held in memory, in bytes: a tenth of the
	// memory that the smallest VMs give a node.
	maxAnswer = 16 << 20
	// readBuffer holds the header and most bodies of an answer, in bytes.
	readBuffer = 8 << 10
)

var (
	errStray    = eris.New("the backend server answered other requests")
	errTooLarge = eris.New("the backend server's answer is too large to hold")
	errIdleData = eris.New("the backend server sent bytes that nobody asked for")
)

// result is what came back for one request.
type result struct {
	resp *http.Response
	body []byte
	err  error
}

// conn is a connection to the backend server. One request uses it at a time.
type conn struct {
	net.Conn
	reader *bufio.Reader
	// idHeader is the header that answers echo the request's id in.
	idHeader string
	// wanted is handed the request that waits for an answer; results gives it back.
	wanted  chan *http.Request
	results chan result
	// idleSince is when the connection was last used, and keep how long the
	// backend server keeps it from then on; 0 is not told.
	idleSince time.Time
	keep      time.Duration
	mu        sync.Mutex
	dead      bool
}

func newConn(c net.Conn, idHeader string) *conn {
	one := &conn{
		Conn: c, reader: bufio.NewReaderSize(c, readBuffer), idHeader: idHeader,
		wanted: make(chan *http.Request, 1), results: make(chan result, 1),
	}
	go one.read()
	return one
}

// read waits for bytes even while nobody has asked for any: so a connection that
// the backend server closes, or puts an extra answer on, is noticed before a
// request is sent on it.
func (c *conn) read() {
	defer c.kill()
	for {
		_, err := c.reader.Peek(1)
		var req *http.Request
		select {
		case req = <-c.wanted:
		default:
			if err == nil && c.skipExtra() {
				continue
			}
			c.kill()
			// Whoever sends at this moment must be told.
			select {
			case <-c.wanted:
				c.results <- result{err: errors.Join(errIdleData, err)}
			default:
			}
			return
		}
		if err != nil {
			c.results <- result{err: err}
			return
		}
		r := c.answer(req)
		c.results <- r
		if r.err != nil {
			return
		}
	}
}

// skipExtra reads an answer that came while no request waited. It returns false
// if the connection can't be used any more.
func (c *conn) skipExtra() bool {
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil || resp.ContentLength < 0 || resp.Close {
		return false
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return err == nil
}

// answer reads the answer to req, past those to earlier requests.
func (c *conn) answer(req *http.Request) result {
	id := req.Header.Get(c.idHeader)
	for range maxStray {
		resp, err := http.ReadResponse(c.reader, req)
		if err != nil {
			return result{err: eris.Wrap(err, "read answer")}
		}
		if resp.StatusCode < http.StatusOK {
			continue
		}
		body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer+1))
		if err != nil {
			return result{err: eris.Wrap(err, "read answer's body")}
		}
		if len(body) > maxAnswer {
			return result{err: errTooLarge}
		}
		if resp.Header.Get(c.idHeader) == id {
			return result{resp: resp, body: body}
		}
		if resp.Close {
			break
		}
	}
	return result{err: errStray}
}

// kill closes the connection; no later request may use it.
func (c *conn) kill() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.dead {
		return
	}
	c.dead = true
	// Nothing depends on whether a connection that is given up closes cleanly.
	_ = c.Close()
}

func (c *conn) alive() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.dead
}

// noteKeep learns from an answer how long the backend server keeps the
// connection, and says whether it may be used again.
func (c *conn) noteKeep(resp *http.Response) bool {
	if resp.Close || resp.ProtoMinor == 0 {
		return false
	}
	for part := range strings.SplitSeq(resp.Header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if seconds, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
			c.keep = time.Duration(seconds) * time.Second
		}
	}
	return true
}

// send writes a request and waits for its answer. sent says whether any byte may
// have gone out.
func (c *conn) send(ctx context.Context, req *http.Request, allow func() bool) (r result, sent bool) {
	stop := context.AfterFunc(ctx, c.kill)
	defer stop()
	c.wanted <- req
	if !c.alive() {
		select {
		case <-c.wanted:
			return result{err: net.ErrClosed}, false
		case r := <-c.results:
			return r, false
		}
	}
	// Asked last before the write: a process that was frozen until here must not
	// send what its caller has long given up.
	if !allow() {
		c.kill()
		return result{err: errNotAllowed}, false
	}
	written := c.write(req)
	select {
	case r = <-c.results:
	case <-ctx.Done():
		c.kill()
		return result{err: ctx.Err()}, true
	}
	if r.err == nil && !wholeWritten(written) {
		// Answered before the body was in. The backend server may read on for it;
		// what it would get there next isn't it.
		c.kill()
	}
	return r, true
}

const (
	// smallBody is what is written without a goroutine of its own, in bytes: it fits
	// into the buffers of a connection on which nothing else is under way.
	smallBody = 16 << 10
	// writtenWithin is how long after its answer the write of a long request may
	// take to return.
	writtenWithin = 5 * time.Millisecond
)

// write writes a request; the channel gives how that ended. A long one is written
// while the answer is waited for, which may come early.
func (c *conn) write(req *http.Request) <-chan error {
	written := make(chan error, 1)
	if req.ContentLength <= smallBody {
		written <- req.Write(c.Conn)
		return written
	}
	go func() { written <- req.Write(c.Conn) }()
	return written
}

// wholeWritten says whether a request that was answered is written to its end.
func wholeWritten(written <-chan error) bool {
	timer := time.NewTimer(writtenWithin)
	defer timer.Stop()
	select {
	case err := <-written:
		return err == nil
	case <-timer.C:
		return false
	}
}

var errNotAllowed = eris.New("the time to send the request has passed")
