package headers

import (
	"io"
	"net/http"
	"strings"
)

var (
	// identityEncoding is the transfer encoding for an unmodified body. It is shared
	// by requests and must not be modified.
	identityEncoding = []string{"identity"}
	// emptyBody is a body without bytes that isn't http.NoBody.
	emptyBody = io.NopCloser(emptyReader{})
)

type emptyReader struct{}

func (emptyReader) Read([]byte) (int, error) { return 0, io.EOF }

// WriteTo avoids the 32 KiB copy buffer that the transport would otherwise allocate.
func (emptyReader) WriteTo(io.Writer) (int64, error) { return 0, nil }

// DisableReplay prevents net/http's transport from retrying a request. If a reused
// connection breaks before the response, the transport resends requests that have
// no body and either a safe method or an Idempotency-Key header. The first copy
// may have run, and an error of the second one (a refused connection) would be
// mistaken for proof that nothing was sent. So the request gets a body that can't
// be rewound, and its key headers are set in lower case, which the transport
// doesn't look up.
func DisableReplay(r *http.Request) {
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
			r.Body = emptyBody
			r.ContentLength = 0
			// Without a declared encoding the transport starts a goroutine and a
			// timer to detect whether such a body is empty. With "identity" it sends
			// the empty body and no header for it.
			r.TransferEncoding = identityEncoding
		}
	}
}
