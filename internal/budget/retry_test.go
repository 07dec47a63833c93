package budget

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestRetriesAreAShareOfRequests(t *testing.T) {
	for name, c := range map[string]struct {
		percent, requests int
		retry             func(*Retry) bool
		atMost            int
	}{
		"no retries":           {0, 1000, (*Retry).Retry, 0},
		"ten percent":          {10, 1000, (*Retry).Retry, 110},
		"hops cost less":       {10, 1000, (*Retry).Hop, 440},
		"initial balance only": {10, 0, (*Retry).Retry, 10},
		"all of requests":      {100, 1000, (*Retry).Retry, 1010},
	} {
		t.Run(name, func(t *testing.T) {
			r := NewRetry(c.percent)
			granted := 0
			for range c.requests {
				r.Request()
				if c.retry(r) {
					granted++
				}
			}
			for c.retry(r) {
				granted++
			}
			require.LessOrEqual(t, granted, c.atMost)
			require.GreaterOrEqual(t, granted, c.atMost*9/10)
		})
	}
}

func TestParseChainLimitsWhatCallersClaim(t *testing.T) {
	for text, want := range map[string]Chain{
		"": ChainRetries, "1": 1, "0": 0, "2": 2, "99": ChainRetries, "-1": 0, "many": 0,
	} {
		require.Equal(t, want, ParseChain(text), text)
	}
}

// chain is a chain of services that call each other; the last one always fails.
// Each has a retry budget at the node that calls it.
type chain struct {
	budgets []*Retry
	reached int
	bounded bool
}

// call simulates the call at a level; it always fails and is retried if allowed.
func (c *chain) call(level int, remaining Chain) {
	if level == len(c.budgets) {
		c.reached++
		return
	}
	if remaining.Unused() {
		c.budgets[level].Request()
	}
	const maxAttempts = 3
	for attempt := 0; ; attempt++ {
		c.call(level+1, remaining)
		if attempt+1 == maxAttempts {
			return
		}
		if !c.bounded {
			continue
		}
		if remaining == 0 || !c.budgets[level].Retry() {
			return
		}
		remaining--
	}
}

// run sends requests down a chain and returns the calls of its last service for each
// request.
func run(depth, requests int, bounded bool) float64 {
	c := &chain{bounded: bounded}
	for range depth {
		c.budgets = append(c.budgets, NewRetry(10))
	}
	for range requests {
		c.call(0, ChainRetries)
	}
	return float64(c.reached) / float64(requests)
}

// The service at the end of a chain of eleven calls fails. Each level tries
// three times; without a budget the failing service gets 3^depth calls for one
// request of a user, and can't recover. With the budget of each service and the
// count passed down the chain, it gets at most a tenth more for each level.
func TestRetryStormDoesNotMultiplyDownAChain(t *testing.T) {
	// At depth 11 the sum without a budget is 3^11 = 177147 for each request.
	require.InDelta(t, 177147, run(11, 1, false), 0.1)
	with := run(11, 2000, true)
	t.Logf("calls to the failing service for each request at depth 11: %.0f without, %.2f with", run(11, 1, false), with)
	require.LessOrEqual(t, with, 1+11*0.1+0.2, "a tenth for each level, and the initial balance")
	require.Greater(t, with, 1.0, "some requests are retried")
}
