package guard

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"sync/atomic"
)

// endingBody calls end once the answer has been read completely or closed.
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

// watchedBody records whether reading a request's body failed. Safe for concurrent
// use.
type watchedBody struct {
	io.ReadCloser
	failed atomic.Bool
}

func (b *watchedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil && !errors.Is(err, io.EOF) {
		b.failed.Store(true)
	}
	return n, err
}

// recorder is an http.ResponseWriter that buffers a small answer made by the guard.
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
