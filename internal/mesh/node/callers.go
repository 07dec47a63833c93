package node

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/limpetdock/limpetdock/internal/decision"
	"github.com/limpetdock/limpetdock/internal/kind"
	"github.com/limpetdock/limpetdock/internal/mesh"
	"github.com/limpetdock/limpetdock/internal/mesh/entry"
	"github.com/limpetdock/limpetdock/internal/mesh/front"
)

// callerHandler serves callers' requests: it reads the headers of the platform's dialect and
// turns errors into responses.
type callerHandler struct {
	entry   *entry.Entry
	dialect mesh.Dialect
	now     func() time.Duration
	log     *decision.Log
}

// Serve serves one request.
func (c *callerHandler) Serve(ctx context.Context, r *front.Request) (response *front.Response) {
	in := c.inbound(r)
	defer func() {
		if cause := recover(); cause != nil {
			response = c.errorResponse(in.ID, mesh.PanicError(c.log, in.ID, cause))
		}
	}()
	if in.ID == "" {
		return c.errorResponse(in.ID, kind.New(kind.BadRequest, "%s is missing", c.dialect.Headers.RequestID))
	}
	answer, err := c.entry.Serve(ctx, in)
	if err != nil {
		return c.errorResponse(in.ID, err)
	}
	return &front.Response{Status: answer.Status, Header: answer.Header, Body: answer.Body}
}

// inbound reads the headers that the system uses and removes those that only the system may
// set.
func (c *callerHandler) inbound(r *front.Request) *entry.Inbound {
	names := c.dialect.Headers
	in := &entry.Inbound{
		ID: r.Header.Get(names.RequestID), Method: r.Method, URI: r.URI, Path: r.Path, Host: r.Host,
		Header: r.Header, Body: r.Body, Arrived: c.now() - time.Since(r.Arrived),
	}
	// An unreadable timeout counts as none: the route's timeout applies.
	if ms, err := strconv.ParseInt(r.Header.Get(names.TimeoutMs), 10, 64); err == nil && ms > 0 {
		in.Timeout = time.Duration(ms) * time.Millisecond
	}
	for _, name := range []string{names.RequestID, names.TimeoutMs, names.ExpectedTarget, names.Caller} {
		r.Header.Del(name)
	}
	return in
}

// errorBody is the JSON body of a response that the system itself generates.
type errorBody struct {
	Kind    kind.Kind `json:"kind"`
	Message string    `json:"message"`
}

func (c *callerHandler) errorResponse(id string, e *kind.Error) *front.Response {
	answer, ok := kind.AnswerOf(e.Kind)
	if !ok {
		answer, _ = kind.AnswerOf(kind.OutcomeUnknown)
	}
	notRun := e.ReportedOutcome() == kind.NotRun
	h := http.Header{"Content-Type": {"application/json"}}
	if id != "" {
		h.Set(c.dialect.Headers.RequestID, id)
	}
	if answer.Retry && notRun {
		h.Set("Retry-After", c.dialect.RetryAfter(e.RetryAfter.Seconds()))
	}
	// Two strings can always be encoded.
	body, _ := json.Marshal(errorBody{e.Kind, e.Message})
	return &front.Response{Status: c.dialect.Status(answer.Status, notRun), Header: h, Body: body}
}

// noRoomRetryAfter is when a caller should send a request again whose body had no room in the node's memory:
// larger bodies take about that long to be read.
const noRoomRetryAfter = time.Second

// Reject returns the response to a request that can't be read.
func (c *callerHandler) Reject(status int) *front.Response {
	if status == http.StatusServiceUnavailable {
		e := kind.New(kind.Overloaded, "the bodies of other requests take up the node's memory")
		e.RetryAfter = noRoomRetryAfter
		return c.errorResponse("", e)
	}
	body, _ := json.Marshal(errorBody{kind.BadRequest, http.StatusText(status)})
	return &front.Response{Status: status, Header: http.Header{"Content-Type": {"application/json"}}, Body: body}
}

// Limits returns the limits in force.
func (c *callerHandler) Limits() mesh.Limits {
	if v := c.entry.View(); v != nil {
		return v.Config.Limits
	}
	return mesh.Limits{}
}
