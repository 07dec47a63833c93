package matrix

import (
	"context"
	"fmt"

	"github.com/limpetdock/limpetdock/standin/deploy"
)

// prepareHold sets up the holds that will stop the request at its step.
func (w *worker) prepareHold(ctx context.Context, x *exchange) error {
	guardPort := fmt.Sprint(w.d.Fleet().Ports.Guard)
	switch x.cell.Step {
	case Chosen:
		return w.holdLink(ctx, deploy.LinkFault{From: frontZone, To: w.zone, Hold: true, Port: guardPort})
	case Sent:
		// The guard receives the start of the request's header and waits for the rest.
		const headerStart = 20
		return w.holdLink(ctx, deploy.LinkFault{From: frontZone, To: w.zone, Hold: true, HoldAfter: headerStart, Port: guardPort})
	case Undelivered:
		return w.holdLink(ctx, deploy.LinkFault{From: w.zone, To: frontZone, Hold: true, Port: guardPort})
	case Recorded:
		if err := w.fillSlots(ctx); err != nil {
			return err
		}
		x.queuedBefore = w.queues(ctx)
	}
	return nil
}

func (w *worker) holdLink(ctx context.Context, f deploy.LinkFault) error {
	remove, err := w.links.add(ctx, f)
	w.holds = append(w.holds, remove)
	return err
}

// fillSlots occupies every slot of the service with held reads, so that the
// request of the cell waits in a guard's queue.
func (w *worker) fillSlots(ctx context.Context) error {
	const tries = 4 * perZone
	full := map[string]bool{}
	for n := 0; len(full) < len(w.targets); n++ {
		if n == tries {
			return errUnreached
		}
		x := w.newExchange(ctx, Cell{Style: Read, Step: Running})
		x.front = w.targets[n%len(w.targets)]
		x.send()
		w.holds = append(w.holds, func(context.Context) error {
			x.wait(clientTimeout)
			x.cancel()
			return nil
		})
		if vm, err := w.startedSoon(ctx, x.id); err == nil {
			full[vm] = true
		}
	}
	return nil
}

// releaseAll removes all holds and resumes the held requests.
func (w *worker) releaseAll(ctx context.Context) error {
	holds := w.holds
	w.holds = nil
	for _, target := range w.targets {
		// Errors are ignored: a stopped backend server holds no requests.
		_ = w.d.Release(ctx, target.Name, w.heldIDs...)
	}
	w.heldIDs = nil
	var first error
	for _, remove := range holds {
		if err := remove(ctx); err != nil && first == nil {
			first = err
		}
	}
	return first
}
