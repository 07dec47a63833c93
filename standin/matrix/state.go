package matrix

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/limpetdock/limpetdock/standin/deploy"
)

// state is what the matrix needs of a node's dump.
type state struct {
	Control struct {
		Joined  bool `json:"joined"`
		Leaving bool `json:"leaving"`
	} `json:"control"`
	Load struct {
		Running int `json:"running"`
		Waiting int `json:"waiting"`
	} `json:"load"`
}

func (s state) idle() bool {
	return s.Control.Joined && !s.Control.Leaving && s.Load.Running == 0 && s.Load.Waiting == 0
}

func stateOf(ctx context.Context, p deploy.Place) (s state, err error) {
	err = read(ctx, "http://"+p.Admin()+"/v1/dump", &s)
	return s, err
}

func backendLives(ctx context.Context, p deploy.Place) bool {
	var h struct {
		State   string `json:"state"`
		Running int    `json:"running"`
	}
	return read(ctx, "http://"+p.Backend()+"/healthz", &h) == nil && h.State == "live" && h.Running == 0
}

func read(ctx context.Context, url string, value any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	return json.NewDecoder(resp.Body).Decode(value)
}
