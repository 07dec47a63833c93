package budget

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestHedgesStayWithinSharesOfRequestsAndRetries(t *testing.T) {
	for name, c := range map[string]struct {
		retries, hedges, spent, atMost int
	}{
		"none":                     {10, 0, 0, 0},
		"five percent":             {10, 5, 0, 60},
		"no more than of retries":  {2, 50, 0, 30},
		"retries are spent before": {10, 5, 1000, 0},
	} {
		t.Run(name, func(t *testing.T) {
			r := NewRetry(c.retries)
			r.SetHedgePercent(c.hedges)
			for range c.spent {
				r.Retry()
			}
			granted := 0
			for range 1000 {
				if c.spent == 0 {
					r.Request()
				}
				if r.Hedge() {
					granted++
				}
			}
			require.LessOrEqual(t, granted, c.atMost)
			require.GreaterOrEqual(t, granted, c.atMost*9/10)
			require.EqualValues(t, granted, r.HedgeCounts().Sent)
		})
	}
}

// Every target is full. A copy would take a queue position from a request that has
// none, and would often be refused itself.
func TestHedgesAreDeniedWhileTargetsRefuse(t *testing.T) {
	r := NewRetry(10)
	r.SetHedgePercent(5)
	for i := range 100 {
		r.RecordAttempt(i%4 == 0)
	}
	require.False(t, r.Hedge(), "a quarter of attempts is refused")
	for range 100 {
		r.RecordAttempt(false)
	}
	require.True(t, r.Hedge(), "the overload has ended")
}

// hedged simulates the call at a level of a chain in which every answer is late, so
// that each level sends a copy if the budget allows it.
func (c *chain) hedged(level int, remaining Chain) {
	if level == len(c.budgets) {
		c.reached++
		return
	}
	if remaining.Unused() {
		c.budgets[level].Request()
	}
	c.hedged(level+1, remaining)
	if !c.bounded || remaining.Unused() && c.budgets[level].Hedge() {
		c.hedged(level+1, max(remaining-1, 0))
	}
}

// The service at the end of a chain of eleven calls slows down, and with it every
// call above. A copy at each level would turn one call into 2^11. With the share
// of each service and the count passed down, the slow service gets a twentieth more
// for each level.
func TestHedgesDoNotMultiplyDownAChain(t *testing.T) {
	run := func(requests int, bounded bool) float64 {
		c := &chain{bounded: bounded}
		for range 11 {
			r := NewRetry(10)
			r.SetHedgePercent(5)
			c.budgets = append(c.budgets, r)
		}
		for range requests {
			c.hedged(0, ChainRetries)
		}
		return float64(c.reached) / float64(requests)
	}
	require.InDelta(t, 2048, run(1, false), 0.1)
	with := run(4000, true)
	t.Logf("calls to the slow service for each request at depth 11: %.2f", with)
	require.LessOrEqual(t, with, 1+11*0.05+0.15, "a twentieth for each level, and the initial balance")
	require.Greater(t, with, 1.0)
}
