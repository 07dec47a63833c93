package matrix

import (
	"context"

	"github.com/limpetdock/limpetdock/standin/deploy"
)

// state holds the parts of a node's dump that the matrix needs.
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

func stateOf(ctx context.Context, p deploy.VM) (s state, err error) {
	err = deploy.Get(ctx, "http://"+p.Admin()+"/v1/dump", &s)
	return s, err
}

func backendLives(ctx context.Context, p deploy.VM) bool {
	var h struct {
		State   string `json:"state"`
		Running int    `json:"running"`
	}
	return deploy.Get(ctx, "http://"+p.Backend()+"/healthz", &h) == nil && h.State == "live" && h.Running == 0
}
