package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/limpetdock/limpetdock/internal/kind"
	"github.com/limpetdock/limpetdock/internal/pick"
)

// newConfigWait is how long a request waits for this node to receive the configuration of the
// guard that refused it. Fetching a configuration takes two round trips.
const newConfigWait = 300 * time.Millisecond

// retryWithNewConfig serves a request again if guards refused it because this node's
// configuration is older than theirs. The request is parsed again under the newer
// configuration. It has not run, so this isn't counted as a retry; it is done once.
func (e *Entry) retryWithNewConfig(ctx context.Context, w http.ResponseWriter, v *pick.View, x *request, err *kind.Error) *kind.Error {
	// A request with a ticket or key may always be sent again.
	again := err.ReportedOutcome() == kind.NotRun || x.hasKeyOrTicket()
	if err.Kind != kind.StaleConfig || !again || x.bodyRead.Load() {
		return err
	}
	wait, cancel := context.WithTimeout(ctx, newConfigWait)
	defer cancel()
	next := e.view.Wait(wait, func(now *pick.View) bool { return now.Config != v.Config })
	if next == nil {
		return err
	}
	reparsed, err := parse(next, x.in)
	if err != nil {
		return err
	}
	reparsed.body, reparsed.stream, reparsed.arrived = x.body, x.stream, x.arrived
	reparsed.retryBudget, reparsed.cancel, reparsed.chain, reparsed.hedged = x.retryBudget, x.cancel, x.chain, x.hedged
	if deadline, ok := ctx.Deadline(); ok {
		reparsed.timeout = min(reparsed.timeout, time.Until(deadline))
	}
	if reparsed.atMostOnce {
		return e.serveOnce(ctx, w, next, reparsed)
	}
	return e.serveIdempotent(ctx, w, next, reparsed)
}
