package guard

import (
	"time"

	"github.com/limpetdock/limpetdock/internal/kind"
)

// maxRestartWait is how long after a death requests are refused while the backend server answers no
// probe. Then they are sent, as they may fare better than probes.
const maxRestartWait = 5 * time.Second

// awaitRestart makes the guard refuse requests until the backend server has answered again. What listens
// for a dead one may accept requests and break them off.
func (g *Guard) awaitRestart() {
	if g.hasHealthPath() {
		g.downUntil.Store(int64(g.Now() + maxRestartWait))
	}
}

// noteAnswer records that the backend server has answered.
func (g *Guard) noteAnswer() {
	g.breaks.Completed(g.Now())
	g.downUntil.Store(0)
}

// awaitsRestart reports whether the backend server has died and not answered since.
func (g *Guard) awaitsRestart() bool { return g.Now() < time.Duration(g.downUntil.Load()) }

// checkRestarted returns a refusal while the backend server is down after a death.
func (g *Guard) checkRestarted() *kind.Error {
	if g.awaitsRestart() {
		return kind.New(kind.Unreachable, "the backend server has died and not answered since")
	}
	return nil
}
