package matrix

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// healthyLimit bounds the recovery between two cells.
const healthyLimit = 30 * time.Second

// waitHealthy waits until every node of the service is joined and idle, and both
// front nodes can reach the service.
func (w *worker) waitHealthy(ctx context.Context) error {
	end := time.Now().Add(healthyLimit)
	for {
		problem := w.unhealthy(ctx)
		if problem == "" {
			return nil
		}
		if time.Now().After(end) || ctx.Err() != nil {
			return errors.New("deployment did not recover between cells: " + problem)
		}
		time.Sleep(poll)
	}
}

// unhealthy describes a component that isn't healthy, or returns "".
func (w *worker) unhealthy(ctx context.Context) string {
	for _, target := range w.targets {
		if s, err := stateOf(ctx, target); err != nil || !s.idle() {
			return fmt.Sprintf("node %s: %+v %v", target.Name, s, err)
		}
		if !backendLives(ctx, target) {
			return "backend server of " + target.Name
		}
	}
	for _, front := range w.fronts {
		x := w.newExchange(ctx, Cell{Style: Read, Step: Running})
		x.hold = ""
		x.front = front
		x.send()
		x.wait(clientTimeout)
		x.cancel()
		if x.outcome != Ran {
			return fmt.Sprintf("%s: %s %s", front.Name, x.outcome, x.detail)
		}
	}
	return ""
}
