package node

import (
	"context"
	"errors"
	"syscall"
	"time"

	"github.com/limpetdock/limpetdock/internal/core"
)

const (
	// healthInterval is the interval between health checks of the local backend server.
	healthInterval = 100 * time.Millisecond
	healthTimeout  = time.Second
	// downThreshold is the number of refused connections in a row after which the
	// backend server counts as down.
	downThreshold = 3
)

// watchBackend polls the health endpoint of the local backend server. The traffic
// never leaves the VM, so it doesn't count towards the measuring budget.
func (p params) watchBackend(ctx context.Context) {
	ticker := time.NewTicker(healthInterval)
	defer ticker.Stop()
	var h healthCheck
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		check, cancel := context.WithTimeout(ctx, healthTimeout)
		reported, err := p.Guard.Health(check, p.Settings.Health)
		cancel()
		p.Loop.SetBackend(h.state(reported.State, err))
	}
}

// healthCheck derives a state from the answers of the health endpoint, which may lag
// or be wrong.
type healthCheck struct {
	last    core.BackendState
	refused int
}

// state applies the server's own report that it is draining or starting. A server
// that refuses connections is down, because no request can reach it either. Any
// other failure leaves the state unchanged; the outcomes of requests show whether
// the server works.
func (h *healthCheck) state(reported string, err error) core.BackendState {
	if errors.Is(err, syscall.ECONNREFUSED) {
		h.refused++
		if h.refused >= downThreshold {
			h.last = core.BackendDown
		}
		return h.last
	}
	h.refused = 0
	if err != nil {
		return h.last
	}
	switch reported {
	case "draining":
		h.last = core.BackendDraining
	case "starting":
		h.last = core.BackendStarting
	default:
		h.last = core.BackendLive
	}
	return h.last
}
