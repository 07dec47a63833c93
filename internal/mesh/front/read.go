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
	// defaultHeaderBytes and defaultBodyBytes hold until a configuration says
	// otherwise.
	defaultHeaderBytes = 64 << 10
	defaultBodyBytes   = 32 << 20
	// defaultIdle is how long a connection without requests is kept until then.
	defaultIdle = time.Minute
	// idleGrace is kept a connection longer than callers are told: one that sends
	// at the last moment must not meet the close.
	idleGrace = time.Second
	// bodyTimeout bounds the pause between two pieces of a body.
	bodyTimeout = 10 * time.Second
)

var errHeaderTooLarge = errors.New("header over the limit")

// headerLimit bounds the bytes read while a header is, and counts all.
type headerLimit struct {
	conn net.Conn
	// left is what may still be read; negative is no bound.
	left int64
	read int64
}

func (h *headerLimit) Read(p []byte) (int, error) {
	if h.left == 0 {
		return 0, errHeaderTooLarge
	}
	if h.left > 0 && int64(len(p)) > h.left {
		p = p[:h.left]
	}
	n, err := h.conn.Read(p)
	h.read += int64(n)
	if h.left > 0 {
		h.left -= int64(n)
	}
	return n, err
}

// badRequest is a request that can't be read; status 0 ends the connection
// without an answer.
type badRequest struct{ status int }

var (
	gone     = &badRequest{}
	tooLarge = &badRequest{http.StatusRequestEntityTooLarge}
)

// readRequest reads the next request whole.
func (c *conn) readRequest() (*Request, *badRequest) {
	limits := c.server.handler.Limits()
	if bad := c.awaitRequest(limits); bad != nil {
		return nil, bad
	}
	in, err := c.readHeader(cmp.Or(limits.HeaderBytes, defaultHeaderBytes))
	if err != nil {
		return nil, unreadable(err)
	}
	if bad := check(in); bad != nil {
		return nil, bad
	}
	body, bad := c.readBody(in, limits)
	if bad != nil {
		return nil, bad
	}
	if err := c.raw.SetReadDeadline(time.Time{}); err != nil {
		return nil, gone
	}
	return &Request{
		Method: in.Method, URI: in.RequestURI, Path: in.URL.Path, Host: in.Host,
		Header: endToEnd(in.Header), Body: body, Arrived: time.Now(), last: in.Close,
	}, nil
}

// readHeader reads a request's header of so many bytes at most. What stands in the
// buffer already isn't bounded by the reads, so the bytes taken are counted too.
func (c *conn) readHeader(limit int64) (*http.Request, error) {
	before := c.header.read - int64(c.reader.Buffered())
	c.header.left = limit
	in, err := http.ReadRequest(c.reader)
	c.header.left = -1
	if err == nil && c.header.read-int64(c.reader.Buffered())-before > limit {
		return nil, errHeaderTooLarge
	}
	return in, err
}

// awaitRequest waits for the first byte of a request.
func (c *conn) awaitRequest(limits mesh.Limits) *badRequest {
	idle := cmp.Or(limits.IdleTimeout, defaultIdle)
	c.mu.Lock()
	// With an answer outstanding the connection isn't idle, and its end, which
	// CloseWrite has given a deadline, isn't to be put off.
	closing := c.closing
	c.mu.Unlock()
	if closing {
		return gone
	}
	for {
		if err := c.raw.SetReadDeadline(time.Now().Add(idle + idleGrace)); err != nil {
			return gone
		}
		_, err := c.reader.Peek(1)
		if err == nil {
			break
		}
		var timeout net.Error
		if !errors.As(err, &timeout) || !timeout.Timeout() || !c.serving() {
			return gone
		}
	}
	if limits.HeaderTimeout > 0 {
		if err := c.raw.SetReadDeadline(time.Now().Add(limits.HeaderTimeout)); err != nil {
			return gone
		}
	}
	return nil
}

// serving says whether answers are outstanding.
func (c *conn) serving() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ahead > 0 && !c.closing
}

// unreadable gives the answer to a header that can't be read.
func unreadable(err error) *badRequest {
	var timeout net.Error
	switch {
	case errors.Is(err, errHeaderTooLarge):
		return &badRequest{http.StatusRequestHeaderFieldsTooLarge}
	case errors.As(err, &timeout), errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return gone
	}
	return &badRequest{http.StatusBadRequest}
}

// check refuses what can't be sent on as it came.
func check(in *http.Request) *badRequest {
	bad := &badRequest{http.StatusBadRequest}
	switch {
	case in.ProtoMajor != 1, in.Host == "" && in.ProtoMinor == 1:
		return bad
	case !strings.HasPrefix(in.RequestURI, "/"):
		return bad
	}
	for name, values := range in.Header {
		if !httpguts.ValidHeaderFieldName(name) || !allValid(values) {
			return bad
		}
	}
	return nil
}

// allValid says whether values may be sent on. The library reads some that
// another server would take for the end of the header.
func allValid(values []string) bool {
	for _, v := range values {
		if !httpguts.ValidHeaderFieldValue(v) {
			return false
		}
	}
	return true
}

// readBody reads a body whole.
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
			return nil, gone
		}
	}
	var body bytes.Buffer
	if in.ContentLength > 0 {
		body.Grow(int(in.ContentLength))
	}
	paced := &pacedReader{conn: c.raw, from: io.LimitReader(in.Body, limit+1)}
	if _, err := io.Copy(&body, paced); err != nil {
		var timeout net.Error
		if errors.As(err, &timeout) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, net.ErrClosed) {
			return nil, gone
		}
		return nil, &badRequest{http.StatusBadRequest}
	}
	if int64(body.Len()) > limit {
		return nil, tooLarge
	}
	return body.Bytes(), nil
}

// pacedReader gives each piece of a body its own time.
type pacedReader struct {
	conn net.Conn
	from io.Reader
}

func (p *pacedReader) Read(b []byte) (int, error) {
	if err := p.conn.SetReadDeadline(time.Now().Add(bodyTimeout)); err != nil {
		return 0, err
	}
	return p.from.Read(b)
}
