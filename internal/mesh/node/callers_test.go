package node

import (
	"encoding/json"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetdock/limpetdock/internal/kind"
	"github.com/limpetdock/limpetdock/internal/mesh"
	"github.com/limpetdock/limpetdock/internal/mesh/entry"
	"github.com/limpetdock/limpetdock/internal/mesh/front"
)

// panicking is an Observer that panics, as a defect in handling one request may.
type panicking struct{ entry.Observer }

func (panicking) Answered(string, kind.Kind, time.Duration) { panic("defect") }

// Guards against a defect in handling one request that ends the process with all its requests.
func TestPanicEndsOnlyItsRequest(t *testing.T) {
	now := func() time.Duration { return time.Second }
	c := &callerHandler{
		entry:   entry.New(entry.Config{Observer: panicking{}, Now: now}),
		dialect: mesh.Dialect{Headers: mesh.HeaderNames{RequestID: "X-Id"}, Status: func(status int, _ bool) int { return status }},
		now:     now,
	}
	r := c.Serve(t.Context(), &front.Request{Header: http.Header{"X-Id": {"one"}}})
	require.Equal(t, http.StatusBadGateway, r.Status)
	require.Equal(t, "one", r.Header.Get("X-Id"))
	var body errorBody
	require.NoError(t, json.Unmarshal(r.Body, &body))
	require.Equal(t, kind.OutcomeUnknown, body.Kind)
}
