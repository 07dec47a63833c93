package headers

import (
	"io"
	"net/http"
	"strings"
)

var (
	// identity is the transfer encoding that sends a body as it is. Nobody may change it.
	identity = []string{"identity"}
	// empty is a body without bytes that isn't http.NoBody.
	empty = io.NopCloser(nothing{})
)

type nothing struct{}

func (nothing) Read([]byte) (int, error) { return 0, io.EOF }

// WriteTo spares the transport a buffer of 32 KiB to copy nothing through.
func (nothing) WriteTo(io.Writer) (int64, error) { return 0, nil }

// Unreplayable keeps net/http's transport from sending a request again by
// itself: when a kept connection breaks before the answer, it repeats requests
// that have no body and a safe method or an Idempotency-Key header. The first
// copy may have run, and an error of the second one (a refused connection) would
// be taken for proof that nothing was sent. So the request gets a body that
// can't be had twice, and its key a spelling that the transport doesn't look up.
func Unreplayable(r *http.Request) {
	for _, name := range []string{IdempotencyKey, "X-Idempotency-Key"} {
		if values, ok := r.Header[name]; ok {
			delete(r.Header, name)
			r.Header[strings.ToLower(name)] = values
		}
	}
	r.GetBody = nil
	switch r.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		if r.Body == nil || r.Body == http.NoBody {
			r.Body = empty
			r.ContentLength = 0
			// Without a declared encoding the transport starts a goroutine and a
			// timer to find out whether such a body is empty; "identity" sends
			// what there is, which is nothing, and no header about it.
			r.TransferEncoding = identity
		}
	}
}
