package matrix

import (
	"context"
	"fmt"

	"github.com/limpetdock/limpetdock/standin/deploy"
)

// arrange sets up what will keep the request at its step.
func (w *worker) arrange(ctx context.Context, x *exchange) error {
	guardPort := fmt.Sprint(w.d.Fleet().Ports.Guard)
	switch x.cell.Step {
	case Chosen:
		return w.holdLink(ctx, deploy.LinkFault{From: frontZone, To: w.zone, Hold: true, Port: guardPort})
	case Sent:
		// The guard gets the start of the request's header and waits for the rest.
		const some = 20
		return w.holdLink(ctx, deploy.LinkFault{From: frontZone, To: w.zone, Hold: true, HoldAfter: some, Port: guardPort})
	case Undelivered:
		return w.holdLink(ctx, deploy.LinkFault{From: w.zone, To: frontZone, Hold: true, Port: guardPort})
	case Recorded:
		if err := w.fill(ctx); err != nil {
			return err
		}
		x.queued = w.queues(ctx)
	}
	return nil
}

func (w *worker) holdLink(ctx context.Context, f deploy.LinkFault) error {
	remove, err := w.links.add(ctx, f)
	w.holds = append(w.holds, remove)
	return err
}

// fill takes every slot of the service with reads that are held, so that the
// request of the cell waits in a guard's queue.
func (w *worker) fill(ctx context.Context) error {
	const tries = 4 * perZone
	full := map[string]bool{}
	for n := 0; len(full) < len(w.homes); n++ {
		if n == tries {
			return errUnreached
		}
		x := w.newExchange(ctx, Cell{Style: Read, Step: Running})
		x.front = w.homes[n%len(w.homes)]
		x.send()
		w.holds = append(w.holds, func(context.Context) error {
			x.wait(patience)
			x.cancel()
			return nil
		})
		if vm, err := w.startedSoon(ctx, x.id); err == nil {
			full[vm] = true
		}
	}
	return nil
}

// releaseAll lets everything that is held go on.
func (w *worker) releaseAll(ctx context.Context) error {
	holds := w.holds
	w.holds = nil
	for _, home := range w.homes {
		// One that is dead has nothing to release.
		_ = w.d.Release(ctx, home.VM, w.held...)
	}
	w.held = nil
	var first error
	for _, take := range holds {
		if err := take(ctx); err != nil && first == nil {
			first = err
		}
	}
	return first
}
