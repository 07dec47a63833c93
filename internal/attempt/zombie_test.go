package attempt_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/limpetdock/limpetdock/internal/attempt"
)

// A payout runs twice. A home is cut off, together with an entry, and another
// process or target takes its place. Minutes later a driver's payout reaches the
// old home, which may still take keys, and runs there. The driver sends it again
// through another entry, when the new home has just waited for a lifetime: it
// remembers all of that time and has no record of the payout.
func TestANewHomeWaitsForWhatTheOldOneMayStillRun(t *testing.T) {
	changes := map[string]func(*world){
		"a replacement": func(w *world) { w.boot("a") },
		"a revision":    func(w *world) { w.targets = []string{"b", "c"} },
	}
	for name, change := range changes {
		t.Run(name, func(t *testing.T) {
			w := newWorld()
			w.advance(4 * lifetime)
			w.look(0)
			w.current["a"].cut = true
			change(w)
			w.advance(lifetime / 2)
			w.look(1)
			p := &promise{class: attempt.Key, id: keyOf("a", "a", "b", "c"), first: w.now}
			w.promises = append(w.promises, p)
			w.deliver(p, 0)
			require.Equal(t, 1, p.runs)
			w.advance(lifetime/2 + aMinute)
			w.look(1)
			w.deliver(p, 1)
			require.Equal(t, 1, p.runs)
		})
	}
}

// deliver sends a copy through an entry until the home doesn't call it stale.
func (w *world) deliver(p *promise, entry int) {
	w.copy(p, entry)
	for len(w.flying) > 0 {
		w.arrive(w.flying[0], false, false)
	}
}
