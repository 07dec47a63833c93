package node

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/limpetdock/limpetdock/internal/kind"
	"github.com/limpetdock/limpetdock/internal/mesh"
	"github.com/limpetdock/limpetdock/internal/mesh/entry"
	"github.com/limpetdock/limpetdock/internal/mesh/front"
)

// callers answers requests of callers: it reads the headers that the platform's
// dialect gives them, and turns errors into answers.
type callers struct {
	entry   *entry.Entry
	dialect mesh.Dialect
	now     func() time.Duration
}

// Serve answers one request.
func (c *callers) Serve(ctx context.Context, r *front.Request) *front.Response {
	in := c.inbound(r)
	if in.ID == "" {
		return c.refusal(in.ID, kind.New(kind.BadRequest, "%s is missing", c.dialect.Headers.RequestID))
	}
	answer, err := c.entry.Serve(ctx, in)
	if err != nil {
		return c.refusal(in.ID, err)
	}
	return &front.Response{Status: answer.Status, Header: answer.Header, Body: answer.Body}
}

// inbound reads the headers that mean something to the system, and takes away
// those that only the system may set.
func (c *callers) inbound(r *front.Request) *entry.Inbound {
	names := c.dialect.Headers
	in := &entry.Inbound{
		ID: r.Header.Get(names.RequestID), Method: r.Method, URI: r.URI, Path: r.Path, Host: r.Host,
		Header: r.Header, Body: r.Body, Arrived: c.now() - time.Since(r.Arrived),
	}
	// A time that can't be read is as good as none: the route's holds.
	if ms, err := strconv.ParseInt(r.Header.Get(names.TimeoutMs), 10, 64); err == nil && ms > 0 {
		in.Timeout = time.Duration(ms) * time.Millisecond
	}
	for _, name := range []string{names.RequestID, names.TimeoutMs, names.ExpectedTarget, names.Caller} {
		r.Header.Del(name)
	}
	return in
}

// errorBody is the JSON body of an answer that the system makes.
type errorBody struct {
	Kind    kind.Kind `json:"kind"`
	Message string    `json:"message"`
}

func (c *callers) refusal(id string, e *kind.Error) *front.Response {
	row, ok := kind.AnswerOf(e.Kind)
	if !ok {
		row, _ = kind.AnswerOf(kind.OutcomeUnknown)
	}
	notRun := e.Said() == kind.NotRun
	h := http.Header{"Content-Type": {"application/json"}}
	if id != "" {
		h.Set(c.dialect.Headers.RequestID, id)
	}
	if row.Retry && notRun {
		h.Set("Retry-After", c.dialect.RetryAfter(e.RetryAfter.Seconds()))
	}
	// Two strings can always be encoded.
	body, _ := json.Marshal(errorBody{e.Kind, e.Message})
	return &front.Response{Status: c.dialect.Status(row.Status, notRun), Header: h, Body: body}
}

// Reject answers a request that can't be read.
func (c *callers) Reject(status int) *front.Response {
	body, _ := json.Marshal(errorBody{kind.BadRequest, http.StatusText(status)})
	return &front.Response{Status: status, Header: http.Header{"Content-Type": {"application/json"}}, Body: body}
}

// Limits gives the limits in force.
func (c *callers) Limits() mesh.Limits {
	if v := c.entry.View(); v != nil {
		return v.Config.Limits
	}
	return mesh.Limits{}
}
