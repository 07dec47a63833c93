package budget

import (
	"flag"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/limpetdock/limpetdock/fleet"
)

// A fixed seed makes runs repeatable; the command line can override it.
func init() { _ = flag.Set("rapid.seed", "1") }

// spending is what was allowed at one time.
type spending struct {
	at                     time.Duration
	requests, bytes, cross int
}

// Operators pay for every byte between regions. Under a fault thousands of replies
// may arrive at once, or none for minutes and then all. A budget that holds only on
// average would allow a burst, which costs money or overloads the link. So the sum
// over any second must be within the limits, whatever the schedule.
func TestNoWindowOfASecondExceedsTheBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := fleet.Budget{
			Requests:         rapid.IntRange(1, 50).Draw(t, "requests"),
			Bytes:            rapid.IntRange(1, 2000).Draw(t, "bytes"),
			CrossRegionBytes: rapid.IntRange(1, 400).Draw(t, "cross"),
		}
		now := time.Duration(0)
		m := NewMeasuring(func() time.Duration { return now })
		m.SetBudget(b)
		var log []spending
		for range rapid.IntRange(1, 60).Draw(t, "moments") {
			now += time.Duration(rapid.SampledFrom([]int{1, 7, 40, 250, 1500}).Draw(t, "pause ms")) * time.Millisecond
			s := spending{at: now, bytes: rapid.IntRange(1, 60).Draw(t, "size")}
			s.requests = rapid.IntRange(0, 1).Draw(t, "request")
			cross := rapid.Bool().Draw(t, "crosses")
			if cross {
				s.cross = s.bytes
			}
			// A burst uses all that is allowed.
			for range rapid.SampledFrom([]int{1, 300}).Draw(t, "tries") {
				if m.allow(s.requests, s.bytes, cross) {
					log = append(log, s)
				}
			}
		}
		requireWindows(t, log, b)
	})
}

func requireWindows(t *rapid.T, log []spending, b fleet.Budget) {
	for i := range log {
		var sum spending
		for _, s := range log[i:] {
			if s.at-log[i].at > time.Second {
				break
			}
			sum.requests += s.requests
			sum.bytes += s.bytes
			sum.cross += s.cross
		}
		if sum.requests > b.Requests || sum.bytes > b.Bytes || sum.cross > b.CrossRegionBytes {
			t.Fatalf("in the second from %v: %+v over %+v", log[i].at, sum, b)
		}
	}
}

func TestMeasuringCountsAllowedAndDenied(t *testing.T) {
	now := time.Duration(0)
	m := NewMeasuring(func() time.Duration { return now })
	require.False(t, m.Allow(1, false), "nothing is allowed before a budget is declared")
	m.SetBudget(fleet.Budget{Requests: 4, Bytes: 400, CrossRegionBytes: 80})
	now = time.Minute
	require.False(t, m.Allow(50, true), "more than the cross-region burst")
	require.True(t, m.Allow(20, true))
	require.True(t, m.AllowRequest(50, false))
	require.False(t, m.AllowRequest(1, false), "one request at once")
	require.EqualValues(t, 1, m.Spent().Requests.Load())
	require.EqualValues(t, 70, m.Spent().Bytes.Load())
	require.EqualValues(t, 20, m.Spent().CrossBytes.Load())
	require.EqualValues(t, 3, m.Spent().Denied.Load())
}
