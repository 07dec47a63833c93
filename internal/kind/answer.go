package kind

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/limpetdock/limpetdock/internal/headers"
)

// defaultRetryAfter is sent where nothing better has been measured.
const defaultRetryAfter = time.Second

// body is the JSON body of every answer made by the system.
type body struct {
	Kind    Kind   `json:"kind"`
	Message string `json:"message"`
}

// Write sends e as a whole answer. It must be called before anything else
// was written to w.
func Write(w http.ResponseWriter, e *Error) {
	row := table[e.Kind]
	if row.Status == 0 {
		row = table[OutcomeUnknown]
	}
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(headers.Outcome, string(e.Said()))
	h.Set(headers.Kind, string(e.Kind))
	if row.Retry {
		h.Set("Retry-After", retrySeconds(e.RetryAfter))
	}
	text, err := json.Marshal(body{Kind: e.Kind, Message: e.Message})
	if err != nil {
		text = []byte(`{"kind":"outcome-unknown","message":"unprintable"}`)
	}
	text = append(text, '\n')
	h.Set("Content-Length", strconv.Itoa(len(text)))
	w.WriteHeader(row.Status)
	// A caller that is gone can't be told; the server closes the connection.
	_, _ = w.Write(text)
}

// retrySeconds gives whole seconds, rounded up (RFC 9110, section 10.2.3).
func retrySeconds(d time.Duration) string {
	if d <= 0 {
		d = defaultRetryAfter
	}
	return strconv.Itoa(int(math.Ceil(d.Seconds())))
}

// Read takes an answer that another node made and returns it as an Error.
// It returns nil when the answer comes from a backend server.
func Read(resp *http.Response) *Error {
	k := Kind(resp.Header.Get(headers.Kind))
	if k == "" {
		return nil
	}
	if _, ok := table[k]; !ok {
		return New(OutcomeUnknown, "a node answered with a kind this version doesn't know")
	}
	e := &Error{Kind: k, Outcome: Outcome(resp.Header.Get(headers.Outcome))}
	// A node of another fleet, which has the target's old address, knows that it
	// didn't run this copy; it knows nothing of the target's own records.
	e.FromGuard = k != WrongFleet
	e.Death, _ = strconv.ParseUint(resp.Header.Get(headers.Death), 16, 64)
	e.Alone = resp.Header.Get(headers.DeathAlone) != ""
	var b body
	// A message that can't be read changes nothing about the kind.
	if json.NewDecoder(http.MaxBytesReader(nil, resp.Body, 4096)).Decode(&b) == nil {
		e.Message = b.Message
	}
	if secs, err := strconv.Atoi(resp.Header.Get("Retry-After")); err == nil {
		e.RetryAfter = time.Duration(secs) * time.Second
	}
	return e
}
