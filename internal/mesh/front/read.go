package front

import (
	"bytes"
	"cmp"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"golang.org/x/net/http/httpguts"

	"github.com/limpetdock/limpetdock/internal/mesh"
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
)

var errHeaderTooLarge = errors.New("header over the limit")

// headerLimit bounds the bytes read while a header is read, and counts all bytes.
type headerLimit struct {
	conn net.Conn
	// remaining is how many bytes may still be read; negative is unlimited.
	remaining int64
	read      int64
}

func (h *headerLimit) Read(p []byte) (int, error) {
	if h.remaining == 0 {
		return 0, errHeaderTooLarge
	}
	if h.remaining > 0 && int64(len(p)) > h.remaining {
		p = p[:h.remaining]
	}
	n, err := h.conn.Read(p)
	h.read += int64(n)
	if h.remaining > 0 {
		h.remaining -= int64(n)
	}
	return n, err
}

// badRequest is a request that can't be read, with the status of its answer.
type badRequest struct{ status int }

var (
	// disconnected means that the caller has closed the connection, and incomplete that no whole
	// request arrived in time. Neither is answered.
	disconnected = &badRequest{}
	incomplete   = &badRequest{}
	tooLarge     = &badRequest{http.StatusRequestEntityTooLarge}
)

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
	body, bad := c.readBody(in, limits)
	if bad != nil {
		return nil, bad
	}
	if err := c.setReadDeadline(time.Time{}); err != nil {
		return nil, disconnected
	}
	return &Request{
		Method: in.Method, URI: in.RequestURI, Path: in.URL.Path, Host: in.Host,
		Header: endToEnd(in.Header), Body: body, Arrived: time.Now(), closeAfter: in.Close,
	}, nil
}

// readHeader reads a request's header of at most limit bytes. Bytes that are in the buffer
// already aren't bounded by headerLimit, so the bytes consumed are counted too.
func (c *conn) readHeader(limit int64) (*http.Request, error) {
	before := c.header.read - int64(c.reader.Buffered())
	c.header.remaining = limit
	in, err := http.ReadRequest(c.reader)
	c.header.remaining = -1
	if err == nil && c.header.read-int64(c.reader.Buffered())-before > limit {
		return nil, errHeaderTooLarge
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
// server shuts down or the last answer has been written, no more requests are read.
func (c *conn) setReadDeadline(t time.Time) error {
	if err := c.raw.SetReadDeadline(t); err != nil {
		return err
	}
	if c.server.closing.Load() || c.lingering.Load() {
		c.stopReading()
	}
	return nil
}

// stopReading makes the current read time out, and all later ones until a deadline is set.
func (c *conn) stopReading() { _ = c.raw.SetReadDeadline(time.Unix(1, 0)) }

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
	return &badRequest{http.StatusBadRequest}
}

// headerError returns the answer to a header that can't be read.
func headerError(err error) *badRequest {
	if errors.Is(err, errHeaderTooLarge) {
		return &badRequest{http.StatusRequestHeaderFieldsTooLarge}
	}
	return readError(err)
}

// validate rejects requests that can't be forwarded as they are.
func validate(in *http.Request) *badRequest {
	bad := &badRequest{http.StatusBadRequest}
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

// readBody reads the whole body.
func (c *conn) readBody(in *http.Request, limits mesh.Limits) ([]byte, *badRequest) {
	if in.Body == nil || in.Body == http.NoBody {
		return nil, nil
	}
	limit := cmp.Or(limits.BodyBytes, defaultBodyBytes)
	if in.ContentLength > limit {
		return nil, tooLarge
	}
	if strings.EqualFold(in.Header.Get("Expect"), "100-continue") {
		c.awaitAnswers()
		if _, err := io.WriteString(stall.NewWriter(c.raw, writeTimeout), "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			return nil, disconnected
		}
	}
	var body bytes.Buffer
	if in.ContentLength > 0 {
		body.Grow(int(in.ContentLength))
	}
	paced := &pacedReader{conn: c, from: io.LimitReader(in.Body, limit+1)}
	if _, err := io.Copy(&body, paced); err != nil {
		return nil, readError(err)
	}
	if int64(body.Len()) > limit {
		return nil, tooLarge
	}
	return body.Bytes(), nil
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
