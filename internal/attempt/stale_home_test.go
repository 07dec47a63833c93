package attempt_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/limpetdock/limpetdock/internal/attempt"
)

// Guards against a payout that runs twice. A home and an entry are cut off, and
// another process or target becomes the home. Minutes later a payout reaches the old
// home, which may still accept keys, and runs there. The caller sends it again through
// another entry, when the new home has waited for one lifetime only: the new home has
// records of all that time, but none of the payout.
func TestNewHomeWaitsUntilOldHomeStopsAcceptingKeys(t *testing.T) {
	changes := map[string]func(*world){
		"a replacement": func(w *world) { w.boot("a") },
		"a revision":    func(w *world) { w.targets = []string{"b", "c"} },
	}
	for name, change := range changes {
		t.Run(name, func(t *testing.T) {
			w := newWorld()
			w.advance(4 * lifetime)
			w.refreshEntry(0)
			w.current["a"].cut = true
			change(w)
			w.advance(lifetime / 2)
			w.refreshEntry(1)
			p := &operation{class: attempt.Key, id: keyOf("a", "a", "b", "c"), first: w.now}
			w.operations = append(w.operations, p)
			w.deliver(p, 0)
			require.Equal(t, 1, p.runs)
			w.advance(lifetime/2 + aMinute)
			w.refreshEntry(1)
			w.deliver(p, 1)
			require.Equal(t, 1, p.runs)
		})
	}
}

// deliver sends a copy through an entry and delivers messages until none is left,
// including repetitions after a stale identity.
func (w *world) deliver(p *operation, entry int) {
	w.copy(p, entry)
	for len(w.inFlight) > 0 {
		w.arrive(w.inFlight[0], false, false)
	}
}
