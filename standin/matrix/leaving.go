package matrix

import (
	"context"
	"slices"
	"time"
)

// checkLeaving sends reads while a VM leaves and looks that it gets none.
func (w *worker) checkLeaving(ctx context.Context, v *Verdict, vm string) error {
	// A stopped process has been started again by now, and takes new work.
	if !w.leaves(v.Cell) || slices.Contains(v.Cell.Faults, gracefulStop) {
		return nil
	}
	if !w.noticed(ctx, vm) {
		v.check(Leaving, true, false, "%s didn't notice for %s that it leaves", vm, noticeLimit)
		return nil
	}
	const reads = 6
	ids := map[string]bool{}
	for i := range reads {
		x := w.newExchange(ctx, Cell{Style: Read, Step: Running})
		x.hold = ""
		x.front = w.fronts[i%len(w.fronts)]
		ids[x.id] = true
		x.send()
		x.wait(patience)
		x.cancel()
	}
	runs, err := w.d.Runs(vm)
	if err != nil {
		return err
	}
	got := 0
	for _, r := range runs {
		if r.Event == "start" && ids[r.ID] {
			got++
		}
	}
	v.check(Leaving, true, got == 0, "%d new requests after it began to leave", got)
	return nil
}

// noticeLimit is the few seconds that a VM may take to hear that it leaves.
const noticeLimit = 5 * time.Second

func (w *worker) noticed(ctx context.Context, vm string) bool {
	_, err := eventually(ctx, noticeLimit, func() (string, bool) {
		for _, home := range w.homes {
			if s, err := stateOf(ctx, home); home.VM == vm && err == nil && s.Control.Leaving {
				return vm, true
			}
		}
		return "", false
	})
	return err == nil
}
