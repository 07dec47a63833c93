package node

import (
	"context"
	"errors"
	"syscall"
	"time"

	"github.com/limpetdock/limpetdock/internal/core"
)

const (
	// healthEvery is how often the own backend server is asked how it is.
	healthEvery   = 100 * time.Millisecond
	healthTimeout = time.Second
	// downAfter refused connections in a row the backend server counts as down.
	downAfter = 3
)

// watchBackend asks the backend server beside the node how it is. It never
// leaves the VM, so it costs nothing of the measuring budget.
func (p parts) watchBackend(ctx context.Context) {
	ticker := time.NewTicker(healthEvery)
	defer ticker.Stop()
	var h healthCheck
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		ask, cancel := context.WithTimeout(ctx, healthTimeout)
		said, err := p.Guard.Health(ask, p.Settings.Health)
		cancel()
		p.Loop.SetBackend(h.state(said.State, err))
	}
}

// healthCheck turns the answers of the health endpoint, which may lag or
// mislead, into a state.
type healthCheck struct {
	last    core.BackendState
	refused int
}

// state takes the server's own word that it drains or starts. A server that
// refuses connections is down, for then no request can reach it either. Any
// other failure leaves the state as it was: requests themselves will tell.
func (h *healthCheck) state(said string, err error) core.BackendState {
	if errors.Is(err, syscall.ECONNREFUSED) {
		h.refused++
		if h.refused >= downAfter {
			h.last = core.BackendDown
		}
		return h.last
	}
	h.refused = 0
	if err != nil {
		return h.last
	}
	switch said {
	case "draining":
		h.last = core.BackendDraining
	case "starting":
		h.last = core.BackendStarting
	default:
		h.last = core.BackendLive
	}
	return h.last
}
