// Package exchange speaks HTTP/1.1 to the backend server beside the node, over
// persistent connections. For each exchange it records whether a byte of the request
// was sent, and it accepts only an answer that echoes the request's own ID: a backend
// server may answer twice, or late, on a connection that is reused. As an ID tells answers
// apart only if it is sent once on a connection, a repeated request uses another one.
package exchange

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"github.com/limpetdock/limpetdock/internal/death"
	"github.com/limpetdock/limpetdock/internal/mesh"
	"github.com/limpetdock/limpetdock/internal/readlimit"
)

const (
	// maxUnmatched is how many answers to other requests are skipped before a
	// connection is closed. One duplicate is usual; more are a fault.
	maxUnmatched = 3
	// maxAnswer bounds the body of an answer, in bytes: a tenth of the memory that a
	// node has on the smallest VMs.
	maxAnswer = 16 << 20
	// readBuffer is large enough for the header and most bodies of an answer, in bytes.
	readBuffer = 8 << 10
)

var (
	errUnmatched   = eris.New("the backend server answered other requests")
	errUnsolicited = eris.New("the backend server sent unsolicited bytes")
	// errIntermediary means that something between the node and the backend server answered, such as a
	// proxy that could not pass the request on or got no answer.
	errIntermediary = eris.New("an intermediary answered in place of the backend server")
)

// result is the outcome of one request.
type result struct {
	resp *http.Response
	body []byte
	err  error
}

// conn is a connection to the backend server. One request uses it at a time.
type conn struct {
	net.Conn
	client *Client
	reader *readlimit.Reader
	names  mesh.HeaderNames
	// watch is the record of the connection by which the backend server's death is detected.
	watch *death.Conn
	// wanted receives the request that waits for an answer; results returns the result.
	wanted  chan *http.Request
	results chan result
	// idleSince is when the connection was last used, and keepAlive how long the
	// backend server keeps it open from then on; 0 is unknown.
	idleSince time.Time
	keepAlive time.Duration
	// sentIDs holds the IDs of the requests that were sent. It is used by the request that uses the connection
	// and, while it is idle, under the client's mutex.
	sentIDs idSet
	// receiving is true while bytes arrive that belong to no request.
	receiving atomic.Bool
	mu        sync.Mutex
	aborted   bool
}

func newConn(c net.Conn, client *Client, watch *death.Conn) *conn {
	pc := &conn{
		Conn: c, client: client, watch: watch, reader: readlimit.NewReader(c, readBuffer), names: client.names,
		wanted: make(chan *http.Request, 1), results: make(chan result, 1),
	}
	go pc.read()
	return pc
}

// read waits for bytes even while no request is in flight, so that a connection that
// the backend server closes, or sends an extra answer on, is detected before a
// request is sent on it.
func (c *conn) read() {
	defer c.abort()
	extra := 0
	for {
		_, err := c.reader.Peek(1)
		c.noteEnd(err)
		var req *http.Request
		select {
		case req = <-c.wanted:
			extra = 0
		default:
			extra++
			if err == nil && c.discardExtra(extra) {
				continue
			}
			c.abort()
			// A request that is being sent at this moment must get a result.
			select {
			case <-c.wanted:
				c.results <- result{err: errors.Join(errUnsolicited, err)}
			default:
			}
			return
		}
		if err != nil {
			c.results <- result{err: err}
			return
		}
		r := c.answer(req)
		c.noteEnd(r.err)
		// A connection on which more bytes have arrived isn't used before these are discarded.
		c.receiving.Store(c.reader.Buffered() > 0)
		c.results <- r
		if r.err != nil {
			return
		}
	}
}

// noteEnd records that the backend server has ended the connection, if a read failed for that reason.
func (c *conn) noteEnd(err error) {
	if isEnd(err) && c.alive() {
		c.watch.EndedByPeer()
	}
}

// isEnd reports whether a read failed because the connection has ended.
func isEnd(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET)
}

const (
	// maxExtra bounds the body of an answer to no request that is waiting, in bytes, and extraTimeout the time in
	// which it must have arrived.
	maxExtra     = 1 << 20
	extraTimeout = 250 * time.Millisecond
)

// discardExtra reads an answer that arrived while no request waited, the nth since the last request. It
// returns false if the connection can't be used any more.
func (c *conn) discardExtra(n int) bool {
	c.receiving.Store(true)
	defer c.receiving.Store(false)
	if n > maxUnmatched {
		c.client.avoidReuse()
		return false
	}
	if c.SetReadDeadline(time.Now().Add(extraTimeout)) != nil {
		return false
	}
	resp, err := readHead(c.reader, nil)
	if err == nil && (resp.ContentLength < 0 || resp.Close) {
		return false
	}
	if err == nil && resp.ContentLength <= maxExtra {
		_, err = io.Copy(io.Discard, resp.Body)
	}
	if err == nil && resp.ContentLength <= maxExtra {
		c.client.unmatchedAnswers.Add(1)
		return c.SetReadDeadline(time.Time{}) == nil
	}
	if c.alive() && !isEnd(err) {
		c.client.avoidReuse()
	}
	return false
}

// answer reads the answer to req, skipping those to earlier requests.
func (c *conn) answer(req *http.Request) result {
	id := req.Header.Get(c.names.RequestID)
	for range maxUnmatched {
		resp, err := readHead(c.reader, req)
		if err != nil {
			return result{err: eris.Wrap(err, "read answer")}
		}
		if resp.StatusCode < http.StatusOK {
			continue
		}
		if c.fromIntermediary(resp) {
			return result{err: errIntermediary}
		}
		if resp.Header.Get(c.names.RequestID) != id {
			c.client.unmatchedAnswers.Add(1)
			n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxExtra+1))
			if err != nil {
				return result{err: eris.Wrap(err, "read answer to another request")}
			}
			if resp.Close {
				return result{err: errUnmatched}
			}
			if n > maxExtra {
				break
			}
			continue
		}
		body, err := c.readBody(resp)
		if err != nil {
			return result{err: eris.Wrap(err, "read answer's body")}
		}
		return result{resp: resp, body: body}
	}
	c.client.avoidReuse()
	return result{err: errUnmatched}
}

// readBody reads the body of an answer.
func (c *conn) readBody(resp *http.Response) ([]byte, error) {
	length := resp.ContentLength
	if resp.Body == http.NoBody {
		// The answer to a HEAD request may declare the length that another one's would have.
		length = 0
	}
	body, release, err := c.client.bodies.ReadAll(resp.Body, length, maxAnswer)
	release()
	return body, err
}

// fromIntermediary reports whether a failure has none of the headers that the backend server's own answers
// have.
func (c *conn) fromIntermediary(resp *http.Response) bool {
	if resp.StatusCode < http.StatusInternalServerError {
		return false
	}
	for _, name := range []string{c.names.RequestID, c.names.Target, c.names.Load, c.names.Signature, c.names.NotRun} {
		if resp.Header.Get(name) != "" {
			return false
		}
	}
	return true
}

// abort closes the connection; no later request may use it.
func (c *conn) abort() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.aborted {
		return
	}
	c.aborted = true
	c.watch.Closed()
	// An error on closing has no effect: the connection is not used any more.
	_ = c.Close()
}

func (c *conn) alive() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.aborted
}

// noteKeepAlive reads from an answer how long the backend server keeps the
// connection open, and reports whether it may be reused.
func (c *conn) noteKeepAlive(resp *http.Response) bool {
	if resp.Close || resp.ProtoMinor == 0 {
		return false
	}
	for part := range strings.SplitSeq(resp.Header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if seconds, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
			c.keepAlive = time.Duration(seconds) * time.Second
		}
	}
	return true
}

// send writes a request and waits for its answer. sent reports whether any byte may
// have been written.
func (c *conn) send(ctx context.Context, req *http.Request, allow func() bool) (r result, sent bool) {
	stop := context.AfterFunc(ctx, c.abort)
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
	// Checked last before the write: a process that was frozen until now must not send
	// a request that its caller has given up since.
	if !allow() {
		c.abort()
		return result{err: errNotAllowed}, false
	}
	written := c.write(req)
	select {
	case r = <-c.results:
	case <-ctx.Done():
		c.abort()
		return result{err: ctx.Err()}, true
	}
	if r.err == nil && !writeCompleted(written) {
		// Answered before the whole body was sent. The backend server may still read the
		// rest of it, and would read the next request as that rest.
		c.abort()
	}
	return r, true
}

const (
	// smallBody is the largest body that is written without a goroutine of its own, in
	// bytes: it fits into the buffers of a connection with nothing else in flight.
	smallBody = 16 << 10
	// writeGrace is how long after its answer the write of a long request may take to
	// return.
	writeGrace = 5 * time.Millisecond
)

// write writes a request and returns a channel that receives the write's error. A long
// request is written while its answer, which may arrive early, is awaited.
func (c *conn) write(req *http.Request) <-chan error {
	written := make(chan error, 1)
	if req.ContentLength <= smallBody {
		written <- req.Write(c.Conn)
		return written
	}
	go func() { written <- req.Write(c.Conn) }()
	return written
}

// writeCompleted reports whether a request that was answered has been written completely.
func writeCompleted(written <-chan error) bool {
	// A write that has returned counts however late this goroutine is, when the timer may have
	// fired, too.
	select {
	case err := <-written:
		return err == nil
	default:
	}
	timer := time.NewTimer(writeGrace)
	defer timer.Stop()
	select {
	case err := <-written:
		return err == nil
	case <-timer.C:
		return false
	}
}

var errNotAllowed = eris.New("the time to send the request has passed")
