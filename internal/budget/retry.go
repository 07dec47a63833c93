package budget

import "sync"

const (
	// retryUnit is one retry in a Retry's balance; a request adds percent/100 of
	// it.
	retryUnit = 100
	// hopCost is the cost of another attempt after a refusal. A refused request did
	// not run, so it costs the fleet far less than a run, but it is not free: under
	// overload every target refuses, and each refused attempt takes CPU time of the
	// entry.
	hopCost = retryUnit / 4
	// retryCap bounds the balance, in retries: a burst of failures after a time
	// without load starts with no more than this.
	retryCap = 10
)

// Retry is the retry budget of one service at one node: retries are a share of
// requests, however many requests fail (Google, "Site Reliability Engineering", 2016,
// chapter 22). Safe for concurrent use.
type Retry struct {
	mu      sync.Mutex
	percent int
	balance int
	denied  uint64
	spent   uint64
	hedges  hedges
}

// NewRetry returns a budget of a share of requests, in percent, with a full balance.
func NewRetry(percent int) *Retry {
	return &Retry{percent: percent, balance: initialBalance(percent)}
}

// initialBalance returns the balance at the start: none for a service without retries.
func initialBalance(percent int) int {
	if percent == 0 {
		return 0
	}
	return retryCap * retryUnit
}

// SetPercent changes the share.
func (r *Retry) SetPercent(percent int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if percent == r.percent {
		return
	}
	r.percent = percent
	r.balance = min(r.balance, initialBalance(percent))
}

// Request credits one request. A request that exists only because a call before it
// was retried must not be credited: retries would then allow further retries.
func (r *Retry) Request() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.balance = min(r.balance+r.percent, retryCap*retryUnit)
	r.hedges.credit()
}

// Retry withdraws one retry of a request that may have run, and reports whether
// the budget allows it.
func (r *Retry) Retry() bool { return r.withdraw(retryUnit) }

// Hop withdraws one attempt at another target after a refusal, and reports whether
// the budget allows it.
func (r *Retry) Hop() bool { return r.withdraw(hopCost) }

func (r *Retry) withdraw(cost int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.balance < cost {
		r.denied++
		return false
	}
	r.balance -= cost
	r.spent++
	return true
}

// Counts returns how many retries and hops were granted and denied.
func (r *Retry) Counts() (spent, denied uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.spent, r.denied
}
