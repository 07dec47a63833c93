package kind

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/limpetdock/limpetdock/internal/headers"
)

// defaultRetryAfter is sent when an Error has no estimate of its own.
const defaultRetryAfter = time.Second

// answerBody is the JSON body of every answer made by the system itself.
type answerBody struct {
	Kind    Kind   `json:"kind"`
	Message string `json:"message"`
}

// Write sends e as a complete response. It must be called before anything else
// is written to w.
func Write(w http.ResponseWriter, e *Error) {
	row := answers[e.Kind]
	if row.Status == 0 {
		row = answers[OutcomeUnknown]
	}
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(headers.Outcome, string(e.ReportedOutcome()))
	h.Set(headers.Kind, string(e.Kind))
	if row.Retry {
		h.Set("Retry-After", retryAfterSeconds(e.RetryAfter))
	}
	text, err := json.Marshal(answerBody{Kind: e.Kind, Message: e.Message})
	if err != nil {
		text = []byte(`{"kind":"outcome-unknown","message":"unprintable"}`)
	}
	text = append(text, '\n')
	h.Set("Content-Length", strconv.Itoa(len(text)))
	w.WriteHeader(row.Status)
	// A write fails only if the caller has disconnected; the server then closes
	// the connection.
	_, _ = w.Write(text)
}

// retryAfterSeconds returns d in whole seconds, rounded up (RFC 9110, section 10.2.3).
func retryAfterSeconds(d time.Duration) string {
	if d <= 0 {
		d = defaultRetryAfter
	}
	return strconv.Itoa(int(math.Ceil(d.Seconds())))
}

// Read returns the Error that another node sent with Write. It returns nil if
// the response comes from a backend server.
func Read(resp *http.Response) *Error {
	k := Kind(resp.Header.Get(headers.Kind))
	if k == "" {
		return nil
	}
	if _, ok := answers[k]; !ok {
		return New(OutcomeUnknown, "a node answered with an error kind that this version doesn't support")
	}
	e := &Error{Kind: k, Outcome: Outcome(resp.Header.Get(headers.Outcome))}
	// A WrongFleet answer comes from a node of another fleet that now has the
	// target's address. It did not run this copy of the request, but it has no
	// access to the target's records.
	e.FromGuard = k != WrongFleet
	e.Death, _ = strconv.ParseUint(resp.Header.Get(headers.Death), 16, 64)
	e.Alone = resp.Header.Get(headers.DeathAlone) != ""
	e.DeathUncertain = resp.Header.Get(headers.DeathUncertain) != ""
	var b answerBody
	// The kind is in a header, so an unreadable message is ignored.
	if json.NewDecoder(http.MaxBytesReader(nil, resp.Body, 4096)).Decode(&b) == nil {
		e.Message = b.Message
	}
	if secs, err := strconv.Atoi(resp.Header.Get("Retry-After")); err == nil {
		e.RetryAfter = time.Duration(secs) * time.Second
	}
	return e
}
