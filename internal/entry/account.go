package entry

import (
	"sync"

	"github.com/limpetdock/limpetdock/internal/budget"
	"github.com/limpetdock/limpetdock/internal/kind"
	"github.com/limpetdock/limpetdock/internal/pick"
)

// accounts are the retry budgets of services at this node. They outlive
// configurations. Safe for concurrent use.
type accounts struct {
	mu   sync.RWMutex
	rows map[string]*budget.Retry
}

// setView opens accounts for new services and closes those of former ones.
func (a *accounts) setView(v *pick.View) {
	a.mu.Lock()
	defer a.mu.Unlock()
	rows := make(map[string]*budget.Retry, len(v.Services))
	for name, s := range v.Services {
		row := a.rows[name]
		if row == nil {
			row = budget.NewRetry(s.RetryPercent)
		}
		row.SetPercent(s.RetryPercent)
		row.SetHedgePercent(s.HedgePercent)
		rows[name] = row
	}
	a.rows = rows
}

// of gives the account of a service; one that just left the configuration has
// none left to retry with.
func (a *accounts) of(service string) *budget.Retry {
	a.mu.RLock()
	defer a.mu.RUnlock()
	if row := a.rows[service]; row != nil {
		return row
	}
	return budget.NewRetry(0)
}

// RetryUse is what the retry budget of a service granted and denied.
type RetryUse struct {
	Service         string
	Granted, Denied uint64
	Hedges          budget.HedgeCounts
}

// RetryUses gives the use of every retry budget, in no particular order.
func (e *Entry) RetryUses() []RetryUse {
	e.accounts.mu.RLock()
	defer e.accounts.mu.RUnlock()
	uses := make([]RetryUse, 0, len(e.accounts.rows))
	for name, row := range e.accounts.rows {
		spent, denied := row.Counts()
		uses = append(uses, RetryUse{name, spent, denied, row.HedgeCounts()})
	}
	return uses
}

// mayGoOn says whether the budgets let a request go on to another target after
// err, and pays for it. A request that may have run costs a retry, of the service
// and of the call chain; one that was refused costs a part of one, and one that
// no backend server was asked about nothing: that bounds itself. Nor does an
// attempt cost anything that named an older incarnation: after a restart each
// target refuses one of every entry, and tells its new name.
func (e *Entry) mayGoOn(x *request, err *kind.Error) bool {
	if err.Free() {
		return true
	}
	if err.Said() == kind.NotRun {
		return x.account.Hop()
	}
	if x.chain == 0 || !x.account.Retry() {
		return false
	}
	x.chain--
	return true
}
