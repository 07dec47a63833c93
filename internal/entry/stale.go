package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/limpetdock/limpetdock/internal/kind"
	"github.com/limpetdock/limpetdock/internal/pick"
)

// staleWait is how long a request waits for this node to catch up with the
// guard that refused it. Fetching a configuration takes two round trips.
const staleWait = 300 * time.Millisecond

// reroute serves a request again that guards refused because this node's
// configuration is older than theirs: it is parsed anew under the one that the
// guards have. Nothing of the request has run, so this is no retry; it is tried once.
func (e *Entry) reroute(ctx context.Context, w http.ResponseWriter, v *pick.View, x *request, err *kind.Error) *kind.Error {
	// A copy under a ticket or key may always be sent again.
	again := err.Said() == kind.NotRun || x.keyed()
	if err.Kind != kind.StaleConfig || !again || x.begun.Load() {
		return err
	}
	wait, cancel := context.WithTimeout(ctx, staleWait)
	defer cancel()
	next := e.view.Wait(wait, func(now *pick.View) bool { return now.Config != v.Config })
	if next == nil {
		return err
	}
	anew, err := parse(next, x.in)
	if err != nil {
		return err
	}
	anew.body, anew.stream, anew.arrived = x.body, x.stream, x.arrived
	anew.account, anew.cancel, anew.chain, anew.hedged = x.account, x.cancel, x.chain, x.hedged
	if deadline, ok := ctx.Deadline(); ok {
		anew.timeout = min(anew.timeout, time.Until(deadline))
	}
	if anew.once {
		return e.serveOnce(ctx, w, next, anew)
	}
	return e.serveIdempotent(ctx, w, next, anew)
}
