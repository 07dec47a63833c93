package budget_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/limpetdock/limpetdock/internal/budget"
)

// A backend server fails all requests of a burst, and every node repeats as many as
// it may. Whenever a repeat is granted, the repeats within the window must be within
// the node's share of the requests in it.
func TestGrantedRepeatsStayWithinRatioAndSlack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const window = 10 * time.Second
		ratio := rapid.SampledFrom([]float64{0, 0.1, 0.2, 1}).Draw(t, "ratio")
		slack := float64(rapid.IntRange(0, 5).Draw(t, "slack"))
		w := budget.NewWindow(window, ratio, slack)
		now := time.Duration(0)
		var requests, repeats []time.Duration
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 900).Draw(t, "pause")) * time.Millisecond
			if rapid.Bool().Draw(t, "request") {
				w.Request(now)
				requests = append(requests, now)
				continue
			}
			if !w.Repeat(now) {
				continue
			}
			repeats = append(repeats, now)
			inWindow := within(repeats, now-window*9/10, now)
			require.LessOrEqual(t, float64(inWindow), ratio*float64(within(requests, now-window, now))+slack)
		}
	})
}

func within(times []time.Duration, from, to time.Duration) int {
	n := 0
	for _, one := range times {
		if one > from && one <= to {
			n++
		}
	}
	return n
}

func TestRepeatsAreAllowedAgainAsTheWindowSlides(t *testing.T) {
	w := budget.NewWindow(10*time.Second, 0, 1)
	require.True(t, w.Repeat(0))
	require.False(t, w.Repeat(9*time.Second))
	require.True(t, w.Repeat(10*time.Second))
	granted, denied := w.Counts()
	require.EqualValues(t, 2, granted)
	require.EqualValues(t, 1, denied)
}
