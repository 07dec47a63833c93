package guard

import (
	"time"

	"github.com/limpetdock/limpetdock/internal/attempt"
)

// KeysToHand gives the bytes that the key table takes at most and how long a
// peer may keep it; ok is false if this guard isn't certain to be the home.
func (g *Guard) KeysToHand() (bytes int, hold time.Duration, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.sure() {
		return 0, 0, false
	}
	return g.attempts.KeysToHand(g.now())
}

// SealKeys ends the guard's time as a home, for good, and gives its key table.
func (g *Guard) SealKeys() (*attempt.KeyTable, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.sure() {
		return nil, false
	}
	return g.attempts.SealKeys(g.now())
}

// WantsKeys says whether the predecessor's table is of use here.
func (g *Guard) WantsKeys() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.sure() && g.attempts.WantsKeys(g.now())
}

// TakeKeys makes the predecessor's table the guard's own, if it may be.
func (g *Guard) TakeKeys(t *attempt.KeyTable) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.sure() && g.attempts.TakeKeys(t, g.now())
}

// KeyState tells how the guard stands as a home of keys.
func (g *Guard) KeyState() attempt.KeyState {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.attempts.KeyState(g.now())
}

// sure says whether the platform's word is fresh by the wall clock as well; the
// guard's own clock stands still where a hypervisor has stopped it.
func (g *Guard) sure() bool {
	return time.Now().Round(0).Sub(g.listedAt) <= g.attempts.FreshWithin()
}
