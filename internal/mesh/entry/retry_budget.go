package entry

import (
	"sync"
	"time"

	"github.com/limpetdock/limpetdock/internal/budget"
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

// ratioMargin keeps the node's retries below the ratio also in windows that begin at other
// times than the node's own.
const ratioMargin = 0.7

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

// take withdraws a retry at a service from its budget and reports whether that allows it.
func (b *retryBudgets) take(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.window(service).Repeat(b.now()) {
		b.counts.Denied++
		return false
	}
	b.counts.Granted++
	return true
}

// RetryCounts describes the retry budgets of a node.
type RetryCounts struct {
	// Requests counts the requests that are certainly callers' own; the ratio applies to these.
	Requests uint64
	// Granted and Denied count retries over all services.
	Granted, Denied uint64
	// Share is the node's share of the slack, for each service, and Nodes the number of nodes by which
	// it is divided.
	Share float64
	Nodes int
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

// takeRetry takes a retry of the request from the budget and reports whether it allows that.
func (t *transaction) takeRetry() bool {
	granted := t.entry.retries.take(t.service)
	t.retryDenied = !granted
	return granted
}
