package guard

import (
	"time"

	"github.com/limpetdock/limpetdock/internal/attempt"
)

// HandoverSize returns the largest size of the key table in bytes and how long a peer
// may store it. ok is false if this guard isn't certain to be the home.
func (g *Guard) HandoverSize() (bytes int, hold time.Duration, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.confirmedRecently() {
		return 0, 0, false
	}
	return g.attempts.HandoverSize(g.now())
}

// SealKeys permanently ends this guard's role as a home of keys and returns its key
// table.
func (g *Guard) SealKeys() (*attempt.KeyTable, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.confirmedRecently() {
		return nil, false
	}
	return g.attempts.SealKeys(g.now())
}

// NeedsKeys reports whether the predecessor's table can still be used here.
func (g *Guard) NeedsKeys() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.confirmedRecently() && g.attempts.NeedsKeys(g.now())
}

// RestoreKeys adds the predecessor's table to the guard's own and reports whether it
// was accepted.
func (g *Guard) RestoreKeys(t *attempt.KeyTable) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.confirmedRecently() && g.attempts.RestoreKeys(t, g.now())
}

// KeyState returns the guard's state as a home of keys.
func (g *Guard) KeyState() attempt.KeyState {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.attempts.KeyState(g.now())
}

// confirmedRecently reports whether the platform's last listing is fresh by the wall
// clock as well. The guard's own clock stops while a hypervisor suspends the VM.
func (g *Guard) confirmedRecently() bool {
	return time.Now().Round(0).Sub(g.listedAt) <= g.attempts.MaxConfirmationAge()
}
