package entry

import (
	"sync"

	"github.com/limpetdock/limpetdock/internal/budget"
	"github.com/limpetdock/limpetdock/internal/kind"
	"github.com/limpetdock/limpetdock/internal/pick"
)

// retryBudgets holds the retry budgets of the services at this node. The budgets are kept when
// the configuration changes. Safe for concurrent use.
type retryBudgets struct {
	mu        sync.RWMutex
	byService map[string]*budget.Retry
}

// setView creates budgets for new services and removes those of services that are no longer
// configured.
func (a *retryBudgets) setView(v *pick.View) {
	a.mu.Lock()
	defer a.mu.Unlock()
	rows := make(map[string]*budget.Retry, len(v.Services))
	for name, s := range v.Services {
		row := a.byService[name]
		if row == nil {
			row = budget.NewRetry(s.RetryPercent)
		}
		row.SetPercent(s.RetryPercent)
		row.SetHedgePercent(s.HedgePercent)
		rows[name] = row
	}
	a.byService = rows
}

// forService returns the retry budget of a service, or an empty budget for a service that was
// just removed from the configuration.
func (a *retryBudgets) forService(service string) *budget.Retry {
	a.mu.RLock()
	defer a.mu.RUnlock()
	if row := a.byService[service]; row != nil {
		return row
	}
	return budget.NewRetry(0)
}

// RetryUse counts what the retry budget of a service granted and denied.
type RetryUse struct {
	Service         string
	Granted, Denied uint64
	Hedges          budget.HedgeCounts
}

// RetryUses returns the use of every retry budget, in no particular order.
func (e *Entry) RetryUses() []RetryUse {
	e.retryBudgets.mu.RLock()
	defer e.retryBudgets.mu.RUnlock()
	uses := make([]RetryUse, 0, len(e.retryBudgets.byService))
	for name, row := range e.retryBudgets.byService {
		spent, denied := row.Counts()
		uses = append(uses, RetryUse{name, spent, denied, row.HedgeCounts()})
	}
	return uses
}

// allowNextAttempt reports whether the budgets allow another attempt after err, and charges
// them for it. A request that may have run is charged one retry of the service and one of the
// call chain. A request that a guard refused is charged a fraction of a retry. An attempt that
// reached no backend server is not charged, because such attempts are bounded anyway. Nor is
// an attempt that named an older incarnation: after a restart each target refuses one attempt
// of every entry for that reason, and reports its new incarnation.
func (e *Entry) allowNextAttempt(x *request, err *kind.Error) bool {
	if err.RetryIsUncounted() {
		return true
	}
	if err.ReportedOutcome() == kind.NotRun {
		return x.retryBudget.Hop()
	}
	if x.chain == 0 || !x.retryBudget.Retry() {
		return false
	}
	x.chain--
	return true
}
