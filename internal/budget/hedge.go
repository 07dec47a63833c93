package budget

import "sync/atomic"

const (
	// refusedScale is the fixed-point value of a share of 1 of refused attempts,
	// and refusedWeight the inverse weight of one attempt in the moving average.
	refusedScale, refusedWeight = 1024, 32
	// maxRefused is the share of refused attempts above which no copy is sent.
	maxRefused = refusedScale / 10
)

// hedges is the budget of hedged copies within a Retry. Copies have a share of
// their own, so that they can't use up what retries need. Each copy is also
// charged as a retry, so that both together stay within the share of retries.
type hedges struct {
	percent, balance int
	sent, denied     uint64
	won              atomic.Uint64
	// refused is a moving average of the share of attempts that were refused.
	refused atomic.Int32
}

func (h *hedges) credit() { h.balance = min(h.balance+h.percent, retryCap*retryUnit) }

// HedgeCounts counts hedged copies by outcome.
type HedgeCounts struct {
	// Sent counts copies sent, and Won those that answered first.
	Sent, Won uint64
	// Denied counts copies not sent because of the budget or of refusals.
	Denied uint64
}

// SetHedgePercent changes the share of requests of which a copy may be sent.
func (r *Retry) SetHedgePercent(percent int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if percent == r.hedges.percent {
		return
	}
	if r.hedges.percent == 0 || percent == 0 {
		r.hedges.balance = initialBalance(percent)
	}
	r.hedges.percent = percent
}

// Hedge withdraws one hedged copy and reports whether the budget allows it.
func (r *Retry) Hedge() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	h := &r.hedges
	if h.refused.Load() > maxRefused || h.balance < retryUnit || r.balance < retryUnit {
		h.denied++
		return false
	}
	h.balance -= retryUnit
	r.balance -= retryUnit
	h.sent++
	return true
}

// RecordAttempt records whether a target refused an attempt because it is full.
// While many do, copies would take slots from requests that have none.
func (r *Retry) RecordAttempt(refused bool) {
	old := r.hedges.refused.Load()
	if old == 0 && !refused {
		return
	}
	sample := int32(0)
	if refused {
		sample = refusedScale
	}
	r.hedges.refused.Store(old + (sample-old)/refusedWeight)
}

// HedgeWon records that a copy answered first.
func (r *Retry) HedgeWon() { r.hedges.won.Add(1) }

// HedgeCounts returns the counts of hedged copies so far.
func (r *Retry) HedgeCounts() HedgeCounts {
	r.mu.Lock()
	defer r.mu.Unlock()
	return HedgeCounts{Sent: r.hedges.sent, Won: r.hedges.won.Load(), Denied: r.hedges.denied}
}
