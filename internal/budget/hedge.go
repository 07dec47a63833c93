package budget

import "sync/atomic"

const (
	// refusedScale is the whole of the share of refused offers, and
	// refusedWeight the inverse weight of one offer in it.
	refusedScale, refusedWeight = 1024, 32
	// crowded is the share of refused offers above which no copy is sent.
	crowded = refusedScale / 10
)

// hedges is the part of a Retry that is for hedged copies. They have a share of
// their own, so that they can't use up what retries need, and each takes a retry
// too, so that both together stay within the share of retries.
type hedges struct {
	percent, account int
	sent, denied     uint64
	won              atomic.Uint64
	// refused is a moving average of the share of offers that were refused.
	refused atomic.Int32
}

func (h *hedges) pay() { h.account = min(h.account+h.percent, retryCap*retryUnit) }

// HedgeCounts is what became of hedged copies.
type HedgeCounts struct {
	// Sent are copies sent, and Won those that gave the answer.
	Sent, Won uint64
	// Denied are copies not sent because of the budget or of refusals.
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
		r.hedges.account = startOf(percent)
	}
	r.hedges.percent = percent
}

// Hedge takes out one hedged copy, and says whether there was one.
func (r *Retry) Hedge() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	h := &r.hedges
	if h.refused.Load() > crowded || h.account < retryUnit || r.account < retryUnit {
		h.denied++
		return false
	}
	h.account -= retryUnit
	r.account -= retryUnit
	h.sent++
	return true
}

// Offered notes whether a target refused an offer because it is full. While many
// do, copies would take slots from requests that have none.
func (r *Retry) Offered(refused bool) {
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

// HedgeWon notes that a copy gave the answer.
func (r *Retry) HedgeWon() { r.hedges.won.Add(1) }

// HedgeCounts gives what became of hedged copies so far.
func (r *Retry) HedgeCounts() HedgeCounts {
	r.mu.Lock()
	defer r.mu.Unlock()
	return HedgeCounts{Sent: r.hedges.sent, Won: r.hedges.won.Load(), Denied: r.hedges.denied}
}
