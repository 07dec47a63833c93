package matrix

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/limpetdock/limpetdock/standin/deploy"
)

// reach sends the request, waits until it is at its step and returns the VM that
// has it.
func (w *worker) reach(ctx context.Context, x *exchange) (string, error) {
	x.send()
	switch x.cell.Step {
	case Accepted:
		return w.targets[0].Name, x.waitHalfSent()
	case Chosen, Sent:
		return w.heldAt(ctx)
	case Recorded:
		return w.queuedAt(ctx, x.queuedBefore)
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
	return eventually(ctx, reachLimit, w.findStarted(id))
}

// startedSoon is like started, with a shorter limit, for a request that may be
// waiting in a queue.
func (w *worker) startedSoon(ctx context.Context, id string) (string, error) {
	return eventually(ctx, faultLead, w.findStarted(id))
}

func (w *worker) findStarted(id string) func() (string, bool) {
	return func() (string, bool) {
		for _, target := range w.targets {
			runs, err := w.d.LedgerEntries(target.Name)
			if err == nil && slices.ContainsFunc(runs, func(r deploy.LedgerEntry) bool { return r.ID == id }) {
				return target.Name, true
			}
		}
		return "", false
	}
}

// heldAt waits until the link holds bytes of the request, and returns the target's VM.
func (w *worker) heldAt(ctx context.Context) (string, error) {
	return eventually(ctx, reachLimit, func() (string, bool) {
		held, err := w.d.HeldTargets(ctx, frontZone)
		if err != nil {
			return "", false
		}
		for _, addr := range held {
			for _, target := range w.targets {
				if strings.HasPrefix(addr, target.IP()+":") {
					return target.Name, true
				}
			}
		}
		return "", false
	})
}

// queuedAt waits until more requests than before wait at a guard of the service,
// and returns the guard's VM.
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

// queues returns the number of requests waiting at each guard of the service.
func (w *worker) queues(ctx context.Context) map[string]int {
	n := map[string]int{}
	for _, target := range w.targets {
		if s, err := stateOf(ctx, target); err == nil {
			n[target.Name] = s.Load.Waiting
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
