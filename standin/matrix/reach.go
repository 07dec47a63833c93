package matrix

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/limpetdock/limpetdock/standin/deploy"
)

// reach sends the request and waits until it is at its step; it gives the VM
// that has it.
func (w *worker) reach(ctx context.Context, x *exchange) (string, error) {
	x.send()
	switch x.cell.Step {
	case Accepted:
		return w.homes[0].VM, x.waitHalfSent()
	case Chosen, Sent:
		return w.heldAt(ctx)
	case Recorded:
		return w.queuedAt(ctx, x.queued)
	case Undelivered:
		if _, err := w.started(ctx, x.id); err != nil {
			return "", err
		}
		return w.heldAt(ctx)
	case Resent:
		vm, err := w.started(ctx, x.id)
		x.sendAgain(w.fronts[1])
		return vm, err
	}
	return w.started(ctx, x.id)
}

// started waits until a backend server of the service has started a request.
func (w *worker) started(ctx context.Context, id string) (string, error) {
	return eventually(ctx, reachLimit, w.look(id))
}

// startedSoon is the same for a request that may be waiting in a queue.
func (w *worker) startedSoon(ctx context.Context, id string) (string, error) {
	return eventually(ctx, settleFor, w.look(id))
}

func (w *worker) look(id string) func() (string, bool) {
	return func() (string, bool) {
		for _, home := range w.homes {
			runs, err := w.d.Runs(home.VM)
			if err == nil && slices.ContainsFunc(runs, func(r deploy.Run) bool { return r.ID == id }) {
				return home.VM, true
			}
		}
		return "", false
	}
}

// heldAt waits until the link holds bytes of the request, and tells whose.
func (w *worker) heldAt(ctx context.Context) (string, error) {
	return eventually(ctx, reachLimit, func() (string, bool) {
		held, err := w.d.Held(ctx, frontZone)
		if err != nil {
			return "", false
		}
		for _, addr := range held {
			for _, home := range w.homes {
				if strings.HasPrefix(addr, home.IP()+":") {
					return home.VM, true
				}
			}
		}
		return "", false
	})
}

// queuedAt waits until one more request than before waits at a guard of the
// service, and tells which.
func (w *worker) queuedAt(ctx context.Context, before map[string]int) (string, error) {
	return eventually(ctx, reachLimit, func() (string, bool) {
		for vm, n := range w.queues(ctx) {
			if n > before[vm] {
				return vm, true
			}
		}
		return "", false
	})
}

// queues tells how many requests wait at each guard of the service.
func (w *worker) queues(ctx context.Context) map[string]int {
	n := map[string]int{}
	for _, home := range w.homes {
		if s, err := stateOf(ctx, home); err == nil {
			n[home.VM] = s.Load.Waiting
		}
	}
	return n
}

func eventually(ctx context.Context, limit time.Duration, look func() (string, bool)) (string, error) {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(poll) {
		if got, ok := look(); ok {
			return got, nil
		}
		if ctx.Err() != nil {
			return "", ctx.Err()
		}
	}
	return "", errUnreached
}
