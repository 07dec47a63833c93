package guard

import (
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
)

// endingBody calls end once the answer has been read to its end or closed.
type endingBody struct {
	io.ReadCloser
	end func()
}

func (b *endingBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil {
		b.end()
	}
	return n, err
}

func (b *endingBody) Close() error {
	err := b.ReadCloser.Close()
	b.end()
	return err
}

// unreplayable keeps net/http's transport from sending a request again by
// itself: when a reused connection breaks before the answer, it repeats
// requests that have no body and a safe method or an Idempotency-Key header. The
// backend server may have run the first copy, so the request gets a body that
// can't be had twice, and its key a spelling that the transport doesn't look up.
func unreplayable(r *http.Request) {
	for _, name := range []string{"Idempotency-Key", "X-Idempotency-Key"} {
		if values, ok := r.Header[name]; ok {
			delete(r.Header, name)
			r.Header[strings.ToLower(name)] = values
		}
	}
	switch r.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		if r.Body == nil || r.Body == http.NoBody {
			r.Body = io.NopCloser(bytes.NewReader(nil))
			r.ContentLength = 0
		}
	}
}

// isDial says that no connection could be opened, so nothing was sent.
func isDial(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// recorder is a ResponseWriter that keeps a small answer of the system.
type recorder struct {
	header http.Header
	status int
	body   bytes.Buffer
}

func newRecorder() *recorder { return &recorder{header: http.Header{}} }

func (r *recorder) Header() http.Header         { return r.header }
func (r *recorder) WriteHeader(status int)      { r.status = status }
func (r *recorder) Write(p []byte) (int, error) { return r.body.Write(p) }

func (r *recorder) response(req *http.Request) *http.Response {
	return &http.Response{
		StatusCode: r.status, Header: r.header, ContentLength: int64(r.body.Len()),
		Body: io.NopCloser(&r.body), Request: req,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
	}
}
