package front

import (
	"bufio"
	"cmp"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"golang.org/x/net/http/httpguts"

	"github.com/limpetdock/limpetdock/internal/mesh"
	"github.com/limpetdock/limpetdock/internal/readlimit"
	"github.com/limpetdock/limpetdock/internal/stall"
)

const (
	// defaultHeaderBytes and defaultBodyBytes apply until a configuration sets the limits.
	defaultHeaderBytes = 64 << 10
	defaultBodyBytes   = 32 << 20
	// defaultIdle is how long an idle connection is kept open, also until then.
	defaultIdle = time.Minute
	// idleGrace is how much longer a connection is kept open than callers are told, so
	// that a request sent at the last moment doesn't meet a closed connection.
	idleGrace = time.Second
	// bodyTimeout bounds the pause between two chunks of a body.
	bodyTimeout = 10 * time.Second
	// lastReadTimeout bounds, once the server shuts down, the time until a last request begins and the pause between two
	// chunks of its body. The bytes may have arrived before, and wait to be read.
	lastReadTimeout = 100 * time.Millisecond
)

// badRequest is a request that can't be read.
type badRequest struct {
	// status is that of the answer; 0 is none.
	status int
	// declared is true if the length of what still comes was declared.
	declared bool
}

var (
	// disconnected means that the caller has closed the connection, and incomplete that no whole
	// request arrived in time. Neither is answered.
	disconnected = &badRequest{}
	incomplete   = &badRequest{}
)

// tooLarge returns the rejection of a request whose body is over the limit.
func tooLarge(in *http.Request) *badRequest {
	return &badRequest{http.StatusRequestEntityTooLarge, in.ContentLength >= 0}
}

// noRoom returns the rejection of a request for whose body other bodies leave no memory.
func noRoom(in *http.Request) *badRequest {
	return &badRequest{http.StatusServiceUnavailable, in.ContentLength >= 0}
}

// answered reports whether an answer is sent.
func (b *badRequest) answered() bool { return b.status != 0 }

// readRequest reads the next request with its body.
func (c *conn) readRequest() (*Request, *badRequest) {
	limits := c.server.handler.Limits()
	if bad := c.awaitRequest(limits); bad != nil {
		return nil, bad
	}
	in, err := c.readHeader(cmp.Or(limits.HeaderBytes, defaultHeaderBytes))
	if err != nil {
		return nil, headerError(err)
	}
	if bad := validate(in); bad != nil {
		return nil, bad
	}
	body, release, bad := c.readBody(in, limits)
	if bad != nil {
		release()
		return nil, bad
	}
	if err := c.setReadDeadline(time.Time{}); err != nil {
		release()
		return nil, disconnected
	}
	return &Request{
		Method: in.Method, URI: in.RequestURI, Path: in.URL.Path, Host: in.Host,
		Header: endToEnd(in.Header), Body: body, Arrived: time.Now(), closeAfter: in.Close, release: release,
	}, nil
}

// readHeader reads a request's header of at most limit bytes.
func (c *conn) readHeader(limit int64) (in *http.Request, err error) {
	err = c.reader.Head(limit, func(r *bufio.Reader) error {
		in, err = http.ReadRequest(r)
		return err
	})
	if err != nil && isTimeout(c.reader.Err()) {
		// The library parses a line that is cut off by an error as if it were complete.
		return nil, c.reader.Err()
	}
	return in, err
}

// awaitRequest waits for the first byte of a request.
func (c *conn) awaitRequest(limits mesh.Limits) *badRequest {
	idle := cmp.Or(limits.IdleTimeout, defaultIdle)
	c.mu.Lock()
	// A connection with an outstanding answer isn't idle, and the read deadline that
	// linger sets must not be postponed.
	closing := c.closing
	c.mu.Unlock()
	if closing {
		return incomplete
	}
	for {
		if err := c.setReadDeadline(time.Now().Add(idle + idleGrace)); err != nil {
			return disconnected
		}
		_, err := c.reader.Peek(1)
		if err == nil {
			break
		}
		if !isTimeout(err) {
			return disconnected
		}
		if !c.serving() || c.server.closing.Load() {
			return incomplete
		}
	}
	if limits.HeaderTimeout > 0 {
		if err := c.setReadDeadline(time.Now().Add(limits.HeaderTimeout)); err != nil {
			return disconnected
		}
	}
	return nil
}

// setReadDeadline sets the deadline of the next reads; the zero time means none. Once the
// server shuts down, only what is on its way is read.
func (c *conn) setReadDeadline(t time.Time) error {
	if err := c.raw.SetReadDeadline(t); err != nil {
		return err
	}
	if c.server.closing.Load() {
		c.stopReading()
	}
	return nil
}

// stopReading makes reading time out when no request has begun in time, or the body of one makes no progress. Once no
// more requests are read, the connection is only watched for the end of its input, which goes on.
func (c *conn) stopReading() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.finished {
		return
	}
	deadline := c.server.lastRequests
	if c.inBody {
		deadline = time.Now().Add(lastReadTimeout)
	}
	_ = c.raw.SetReadDeadline(deadline)
}

func (c *conn) setInBody(inBody bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inBody = inBody
}

// serving reports whether answers are outstanding.
func (c *conn) serving() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.outstanding > 0 && !c.closing
}

func isTimeout(err error) bool {
	var failure net.Error
	return errors.As(err, &failure) && failure.Timeout()
}

// readError returns why a request that couldn't be read isn't answered, or the answer if its bytes
// are invalid.
func readError(err error) *badRequest {
	var failure net.Error
	switch {
	case isTimeout(err):
		return incomplete
	case errors.As(err, &failure), errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, net.ErrClosed):
		return disconnected
	}
	return &badRequest{status: http.StatusBadRequest}
}

// headerError returns the answer to a header that can't be read.
func headerError(err error) *badRequest {
	if errors.Is(err, readlimit.ErrHeadTooLarge) {
		return &badRequest{status: http.StatusRequestHeaderFieldsTooLarge}
	}
	return readError(err)
}

// validate rejects requests that can't be forwarded as they are.
func validate(in *http.Request) *badRequest {
	bad := &badRequest{status: http.StatusBadRequest}
	switch {
	case in.ProtoMajor != 1, in.Host == "" && in.ProtoMinor == 1:
		return bad
	case !strings.HasPrefix(in.RequestURI, "/"):
		return bad
	}
	for name, values := range in.Header {
		if !httpguts.ValidHeaderFieldName(name) || !validValues(values) {
			return bad
		}
	}
	return nil
}

// validValues reports whether header values may be forwarded. The library accepts some
// that another server would take for the end of the header.
func validValues(values []string) bool {
	for _, v := range values {
		if !httpguts.ValidHeaderFieldValue(v) {
			return false
		}
	}
	return true
}

// readBody reads the whole body. release must be called once it is no longer used.
func (c *conn) readBody(in *http.Request, limits mesh.Limits) (body []byte, release func(), bad *badRequest) {
	release = func() {}
	if in.Body == nil || in.Body == http.NoBody {
		return nil, release, nil
	}
	limit := cmp.Or(limits.BodyBytes, defaultBodyBytes)
	if in.ContentLength > limit {
		return nil, release, tooLarge(in)
	}
	if strings.EqualFold(in.Header.Get("Expect"), "100-continue") {
		if !c.awaitAnswers() {
			return nil, release, incomplete
		}
		if _, err := io.WriteString(stall.NewWriter(c.raw, writeTimeout), "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			return nil, release, disconnected
		}
	}
	c.setInBody(true)
	defer c.setInBody(false)
	body, release, err := c.server.bodies.ReadAll(&pacedReader{conn: c, from: in.Body}, in.ContentLength, limit)
	switch {
	case errors.Is(err, readlimit.ErrBodyTooLarge):
		return nil, release, tooLarge(in)
	case errors.Is(err, readlimit.ErrNoRoom):
		return nil, release, noRoom(in)
	case err != nil:
		return nil, release, readError(err)
	}
	return body, release, nil
}

// pacedReader sets a new deadline for each chunk of a body.
type pacedReader struct {
	conn *conn
	from io.Reader
}

func (p *pacedReader) Read(b []byte) (int, error) {
	if err := p.conn.setReadDeadline(time.Now().Add(bodyTimeout)); err != nil {
		return 0, err
	}
	return p.from.Read(b)
}
