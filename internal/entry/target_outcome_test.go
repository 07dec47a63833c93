package entry

import (
	"context"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/limpetdock/limpetdock/internal/budget"
	"github.com/limpetdock/limpetdock/internal/kind"
	"github.com/limpetdock/limpetdock/internal/pick"
)

// Guards against a server that is ejected for something it did not cause, such as a caller
// that disconnects or a node that shuts down regularly.
func TestTargetOutcomeOfExchange(t *testing.T) {
	canceled, cancel := context.WithCancel(t.Context())
	cancel()
	for name, c := range map[string]struct {
		ctx    context.Context
		status int
		kind   kind.Kind
		want   pick.Outcome
	}{
		"an answer":                         {t.Context(), 200, "", pick.Good},
		"a client error":                    {t.Context(), 404, "", pick.Good},
		"a server error":                    {t.Context(), 500, "", pick.Failed},
		"service unavailable":               {t.Context(), 503, "", pick.Failed},
		"the caller has disconnected":       {canceled, 0, kind.OutcomeUnknown, pick.Neutral},
		"no connection":                     {t.Context(), 0, kind.Unreachable, pick.Unreachable},
		"a full queue":                      {t.Context(), 0, kind.Overloaded, pick.Refused},
		"the deadline, running":             {t.Context(), 0, kind.DeadlineUnknown, pick.Late},
		"the deadline, in the queue":        {t.Context(), 0, kind.DeadlineNotRun, pick.Late},
		"the process ended":                 {t.Context(), 0, kind.BackendDied, pick.Failed},
		"the exchange was interrupted":      {t.Context(), 0, kind.BackendBroken, pick.Failed},
		"no answer":                         {t.Context(), 0, kind.OutcomeUnknown, pick.Failed},
		"regular shutdown":                  {t.Context(), 0, kind.Leaving, pick.Neutral},
		"another configuration":             {t.Context(), 0, kind.StaleConfig, pick.Neutral},
		"an attempt for an older process":   {t.Context(), 0, kind.StaleAttempt, pick.Neutral},
		"the caller's upload was truncated": {t.Context(), 0, kind.BodyCut, pick.Neutral},
		"a request that crashes its server": {t.Context(), 0, kind.Blocked, pick.Neutral},
	} {
		var failed *kind.Error
		var resp *http.Response
		if c.kind != "" {
			failed = kind.New(c.kind, "test")
		} else {
			resp = &http.Response{StatusCode: c.status}
		}
		require.Equal(t, c.want, targetOutcome(c.ctx, resp, failed), name)
	}
}

// All nodes of a zone are restarted. Each target refuses the first attempt of every entry to
// report its new incarnation, and some attempts while it shuts down. If these were charged,
// they would use up the budget and requests would fail without any overload.
func TestRefusalsDuringRestartUseNoRetryBudget(t *testing.T) {
	e := &Entry{}
	for k, free := range map[kind.Kind]bool{
		kind.StaleAttempt: true, kind.StaleConfig: true, kind.Leaving: true, kind.NotReady: true, kind.Unreachable: true,
		kind.Overloaded: false, kind.Sealed: false, kind.BackendDied: false,
	} {
		x := &request{retryBudget: budget.NewRetry(0), chain: budget.ChainRetries}
		require.Equal(t, free, e.allowNextAttempt(x, kind.New(k, "test")), k)
	}
}
