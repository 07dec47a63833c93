package guard

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
)

// BackendHealth is the answer of a backend server's health endpoint.
type BackendHealth struct {
	// State is "live", "draining" or "starting".
	State string `json:"state"`
	// Running is the number of running requests by the backend server's own count; nil
	// if it isn't reported.
	Running *int `json:"running"`
}

// Health requests the backend server's health endpoint.
func (g *Guard) Health(ctx context.Context, path string) (BackendHealth, error) {
	var h BackendHealth
	u := *g.backend
	u.Path = path
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, u.String(), nil)
	if err != nil {
		return h, err
	}
	resp, err := g.transport.RoundTrip(req)
	if err != nil {
		return h, err
	}
	defer func() { _ = resp.Body.Close() }()
	const healthLimit = 4096
	text, err := io.ReadAll(io.LimitReader(resp.Body, healthLimit))
	if err != nil {
		return h, err
	}
	if err := json.Unmarshal(text, &h); err != nil {
		return h, err
	}
	if h.Running != nil {
		g.gate.SetBackendRunning(*h.Running)
	}
	return h, nil
}
