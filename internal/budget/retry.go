package budget

import "sync"

const (
	// retryUnit is one retry in a Retry's account; a request pays in
	// percent/100 of it.
	retryUnit = 100
	// hopPrice is what going on after a refusal costs. A refusal ran nothing, so
	// it costs the fleet far less than a run, but it is not free: under overload
	// every target refuses, and each refused offer takes time of the node that makes it.
	hopPrice = retryUnit / 4
	// retryCap bounds what is saved up in quiet times, in retries: a storm after
	// a quiet night starts with no more than this.
	retryCap = 10
)

// Retry is the retry budget of one service at one node: retries are a share of
// requests, whatever fails (Google, "Site Reliability Engineering", 2016,
// chapter 22). Safe for concurrent use.
type Retry struct {
	mu      sync.Mutex
	percent int
	account int
	denied  uint64
	spent   uint64
	hedges  hedges
}

// NewRetry returns a budget of a share of requests, in percent, with a full account.
func NewRetry(percent int) *Retry {
	return &Retry{percent: percent, account: startOf(percent)}
}

// startOf is the first account: a service without retries has none.
func startOf(percent int) int {
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
	r.account = min(r.account, startOf(percent))
}

// Request pays in for one request. A request that exists only because a call
// before it was retried must not pay in: retries would pay for retries.
func (r *Retry) Request() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.account = min(r.account+r.percent, retryCap*retryUnit)
	r.hedges.pay()
}

// Retry takes out one retry of a request that may have run, and says whether
// there was one.
func (r *Retry) Retry() bool { return r.take(retryUnit) }

// Hop takes out one hop to another target after a refusal, and says whether
// there was room for it.
func (r *Retry) Hop() bool { return r.take(hopPrice) }

func (r *Retry) take(price int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.account < price {
		r.denied++
		return false
	}
	r.account -= price
	r.spent++
	return true
}

// Counts gives how many retries and hops were granted and denied.
func (r *Retry) Counts() (spent, denied uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.spent, r.denied
}
