package entry

import (
	"sync"
	"time"

	"github.com/limpetdock/limpetdock/internal/budget"
	"github.com/limpetdock/limpetdock/internal/mesh"
)

// Repeats bounds the retries of requests that have reached a backend server, over all nodes
// together.
type Repeats struct {
	// Ratio is the number of retries for each request within Window. Slack is how many more
	// the whole deployment may make.
	Ratio  float64
	Slack  float64
	Window time.Duration
}

const (
	// ratioMargin keeps the node's retries below the ratio also in windows that begin at other
	// times than the node's own.
	ratioMargin = 0.7
	// minCalls is the number of calls by a run to a service below which they count as none. Callers'
	// requests that can't be told from calls come to as much.
	minCalls = 0.1
)

// retryBudgets bound the retries at each service. Safe for concurrent use.
type retryBudgets struct {
	limits     Repeats
	now        func() time.Duration
	mu         sync.Mutex
	windows    map[string]*budget.Window
	slackShare *budget.Share
	counts     RetryCounts
}

func newRetryBudgets(limits Repeats, now func() time.Duration) *retryBudgets {
	return &retryBudgets{
		limits: limits, now: now, windows: map[string]*budget.Window{}, slackShare: budget.NewShare(limits.Slack, limits.Window),
	}
}

// setNodes sets the number of nodes that are known, including this one.
func (b *retryBudgets) setNodes(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.slackShare.SetNodes(n, b.now())
}

// window returns the budget of a service. The mutex must be held.
func (b *retryBudgets) window(service string) *budget.Window {
	w := b.windows[service]
	if w == nil {
		w = budget.NewWindow(b.limits.Window, 0, 0)
		b.windows[service] = w
	}
	w.Set(b.limits.Ratio*ratioMargin, b.slackShare.At(b.now()))
	return w
}

// request counts a caller's request for a service.
func (b *retryBudgets) request(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.counts.Requests++
	b.window(service).Request(b.now())
}

// take withdraws a retry at a service from its budget, and the calls that the run is expected to make
// from those of the services that get them: there they are repeats, too. It returns the service whose
// budget doesn't allow that, or an empty string.
func (b *retryBudgets) take(service string, calls mesh.Calls) (deniedBy string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	// The service's own budget comes first, as its denial says more.
	needed := []expectedRepeats{{service, 1 + calls[service]}}
	for called, n := range calls {
		if called != service && n >= minCalls {
			needed = append(needed, expectedRepeats{called, n})
		}
	}
	for i, r := range needed {
		if !b.window(r.service).Take(now, r.number) {
			b.giveBack(needed[:i], now)
			b.counts.deny(i > 0)
			return r.service
		}
	}
	b.counts.Granted++
	return ""
}

// expectedRepeats is a number of repeats at a service.
type expectedRepeats struct {
	service string
	number  float64
}

// giveBack puts back what was taken at the same time now. The mutex must be held.
func (b *retryBudgets) giveBack(taken []expectedRepeats, now time.Duration) {
	for _, r := range taken {
		b.window(r.service).Return(now, r.number)
	}
}

// RetryCounts describes the retry budgets of a node.
type RetryCounts struct {
	// Requests counts the requests that are certainly callers' own; the ratio applies to these.
	Requests uint64
	// Granted and Denied count retries over all services, DeniedByCalls those that were denied by the
	// budget of a service that the run is expected to call.
	Granted, Denied, DeniedByCalls uint64
	// Share is the node's share of the slack, for each service, and Nodes the number of nodes by which
	// it is divided.
	Share float64
	Nodes int
}

func (c *RetryCounts) deny(byCalls bool) {
	c.Denied++
	if byCalls {
		c.DeniedByCalls++
	}
}

// RetryCounts returns the present state of the retry budgets.
func (e *Entry) RetryCounts() RetryCounts {
	b := e.retries
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.counts
	c.Share, c.Nodes = b.slackShare.At(b.now()), b.slackShare.Nodes()
	return c
}

// takeRetry takes a retry of the request from the budgets and reports whether they allow it.
func (t *transaction) takeRetry() bool {
	t.retryDeniedBy = t.entry.retries.take(t.service, t.stats.expectedCalls())
	return t.retryDeniedBy == ""
}
