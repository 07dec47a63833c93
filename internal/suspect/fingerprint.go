package suspect

import (
	"net/http"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// volatile holds the headers that may differ between two attempts of one request.
var volatile = map[string]bool{
	"X-Request-Id": true, "Idempotency-Key": true, "Traceparent": true, "Tracestate": true,
	"Date": true, "Content-Length": true, "Connection": true, "User-Agent": true, "Expect": true,
}

const ownPrefix = "Limpetdock-"

// Fingerprint returns a hash of what a backend server sees of a request: service,
// method, path, query, buffered body, and the headers that don't change from one
// attempt to the next. The order of the headers doesn't matter.
func Fingerprint(service string, r *http.Request, body []byte) uint64 {
	sum := xxhash.Sum64String(service + "\x00" + r.Method + "\x00" + r.URL.RequestURI())
	var d xxhash.Digest
	for name, values := range r.Header {
		if volatile[name] || strings.HasPrefix(name, ownPrefix) {
			continue
		}
		d.Reset()
		_, _ = d.WriteString(name)
		for _, v := range values {
			_, _ = d.WriteString("\x00" + v)
		}
		sum += d.Sum64()
	}
	return sum ^ xxhash.Sum64(body)
}

// Identity is what the sendings of one request have in common on a platform that defines it.
// Sendings have different ids and deadlines, and begin at different nodes.
type Identity struct {
	// Service is the service that runs the request, and Caller the one that sent it.
	Service, Caller string
	// Method, Host and URI are as the caller sent them.
	Method, Host, URI string
	Body              []byte
}

// Fingerprint returns a hash of the identity.
func (i Identity) Fingerprint() uint64 {
	var d xxhash.Digest
	d.Reset()
	for _, part := range []string{i.Service, i.Caller, i.Method, i.Host, i.URI} {
		_, _ = d.WriteString(part)
		_, _ = d.WriteString("\x00")
	}
	_, _ = d.Write(i.Body)
	return d.Sum64()
}
