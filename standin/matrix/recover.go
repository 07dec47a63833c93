package matrix

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// healthyLimit bounds the recovery between two cells.
const healthyLimit = 30 * time.Second

// waitHealthy waits until every node of the service serves and has nothing to
// do, and both nodes for callers can reach the service.
func (w *worker) waitHealthy(ctx context.Context) error {
	end := time.Now().Add(healthyLimit)
	for {
		sick := w.sick(ctx)
		if sick == "" {
			return nil
		}
		if time.Now().After(end) || ctx.Err() != nil {
			return errors.New("not healthy again: " + sick)
		}
		time.Sleep(poll)
	}
}

// sick names something that isn't healthy, or nothing.
func (w *worker) sick(ctx context.Context) string {
	for _, home := range w.homes {
		if s, err := stateOf(ctx, home); err != nil || !s.idle() {
			return fmt.Sprintf("node %s: %+v %v", home.VM, s, err)
		}
		if !backendLives(ctx, home) {
			return "backend server of " + home.VM
		}
	}
	for _, front := range w.fronts {
		x := w.newExchange(ctx, Cell{Style: Read, Step: Running})
		x.hold = ""
		x.front = front
		x.send()
		x.wait(patience)
		x.cancel()
		if x.outcome != Ran {
			return fmt.Sprintf("%s: %s %s", front.VM, x.outcome, x.detail)
		}
	}
	return ""
}
