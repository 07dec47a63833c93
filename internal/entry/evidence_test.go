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

// What is held against a target must be its own doing: a caller that goes away,
// or a node that leaves in good order, must not get a server ejected.
func TestEvidenceAboutATarget(t *testing.T) {
	gone, cancel := context.WithCancel(t.Context())
	cancel()
	for name, c := range map[string]struct {
		ctx    context.Context
		status int
		kind   kind.Kind
		want   pick.Outcome
	}{
		"an answer":                         {t.Context(), 200, "", pick.Good},
		"the caller's own mistake":          {t.Context(), 404, "", pick.Good},
		"a failure":                         {t.Context(), 500, "", pick.Failed},
		"shed before start":                 {t.Context(), 503, "", pick.Failed},
		"the caller has gone":               {gone, 0, kind.OutcomeUnknown, pick.Neutral},
		"no connection":                     {t.Context(), 0, kind.Unreachable, pick.Unreachable},
		"a full queue":                      {t.Context(), 0, kind.Overloaded, pick.Refused},
		"the deadline, running":             {t.Context(), 0, kind.DeadlineUnknown, pick.Late},
		"the deadline, in the queue":        {t.Context(), 0, kind.DeadlineNotRun, pick.Late},
		"the process ended":                 {t.Context(), 0, kind.BackendDied, pick.Failed},
		"the exchange broke off":            {t.Context(), 0, kind.BackendBroken, pick.Failed},
		"silence":                           {t.Context(), 0, kind.OutcomeUnknown, pick.Failed},
		"leaving in good order":             {t.Context(), 0, kind.Leaving, pick.Neutral},
		"another configuration":             {t.Context(), 0, kind.StaleConfig, pick.Neutral},
		"an attempt for an older process":   {t.Context(), 0, kind.StaleAttempt, pick.Neutral},
		"the caller's upload ended early":   {t.Context(), 0, kind.BodyCut, pick.Neutral},
		"a request that crashes its server": {t.Context(), 0, kind.Blocked, pick.Neutral},
	} {
		var failed *kind.Error
		var resp *http.Response
		if c.kind != "" {
			failed = kind.New(c.kind, "test")
		} else {
			resp = &http.Response{StatusCode: c.status}
		}
		require.Equal(t, c.want, outcomeOf(c.ctx, resp, failed), name)
	}
}

// All nodes of a zone are restarted. Each target then refuses the first
// attempt of every entry once, to tell its new incarnation, and some that come while it
// still leaves. Were these paid for, the budget would be spent on them and
// bookings turned away although nothing is overloaded.
func TestRefusalsOfARestartCostNothing(t *testing.T) {
	e := &Entry{}
	for k, free := range map[kind.Kind]bool{
		kind.StaleAttempt: true, kind.StaleConfig: true, kind.Leaving: true, kind.NotReady: true, kind.Unreachable: true,
		kind.Overloaded: false, kind.Sealed: false, kind.BackendDied: false,
	} {
		x := &request{account: budget.NewRetry(0), chain: budget.ChainRetries}
		require.Equal(t, free, e.mayGoOn(x, kind.New(k, "test")), k)
	}
}
