package matrix

import (
	"context"
	"slices"
	"time"
)

// checkLeaving sends reads while a VM is leaving and checks that it gets none.
func (w *worker) checkLeaving(ctx context.Context, v *Result, vm string) error {
	// A stopped process has been restarted by now and accepts new requests.
	if !w.leaves(v.Cell) || slices.Contains(v.Cell.Faults, gracefulStop) {
		return nil
	}
	if !w.noticed(ctx, vm) {
		v.check(Leaving, true, false, "%s did not report within %s that it is leaving", vm, noticeLimit)
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
		x.wait(clientTimeout)
		x.cancel()
	}
	runs, err := w.d.LedgerEntries(vm)
	if err != nil {
		return err
	}
	got := 0
	for _, r := range runs {
		if r.Event == "start" && ids[r.ID] {
			got++
		}
	}
	v.check(Leaving, true, got == 0, "%d new requests after the VM started to leave", got)
	return nil
}

// noticeLimit is the time within which a node must detect that its VM is leaving.
const noticeLimit = 5 * time.Second

func (w *worker) noticed(ctx context.Context, vm string) bool {
	_, err := eventually(ctx, noticeLimit, func() (string, bool) {
		for _, target := range w.targets {
			if s, err := stateOf(ctx, target); target.Name == vm && err == nil && s.Control.Leaving {
				return vm, true
			}
		}
		return "", false
	})
	return err == nil
}
