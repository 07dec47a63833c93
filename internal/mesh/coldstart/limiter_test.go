package coldstart_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/limpetdock/limpetdock/internal/mesh/coldstart"
)

var testRate = coldstart.Rate{PerSecond: 16.5, Burst: 4}

// permitsInAnySecond returns the most requests that were sent within one second, wherever it
// begins.
func permitsInAnySecond(sent []time.Duration) int {
	most := 0
	for i := range sent {
		n := 0
		for _, t := range sent[i:] {
			if t < sent[i]+time.Second {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// A backend server becomes cold at a random moment, and reports arrive late or not at all. Guards
// against more requests in any second from then on than it is limited to.
func TestNoSecondOfAColdServerExceedsTheLimit(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		var l coldstart.Limiter
		l.SetRate(testRate, 0)
		coldAt := time.Duration(rapid.IntRange(0, 3000).Draw(r, "cold at ms")) * time.Millisecond
		var sent []time.Duration
		var askedAt time.Duration
		asked, warmWhenAsked := false, false
		now := time.Duration(0)
		for now < 6*time.Second {
			now += time.Duration(rapid.IntRange(0, 40_000).Draw(r, "step us")) * time.Microsecond
			switch rapid.IntRange(0, 9).Draw(r, "action") {
			case 0:
				asked, askedAt, warmWhenAsked = true, now, now < coldAt
			case 1:
				if asked && warmWhenAsked {
					l.ReportWarm(askedAt, now)
				} else if asked {
					l.ReportCold(time.Second, now)
				}
				asked = false
			default:
				if l.Permit(now) && now >= coldAt {
					sent = append(sent, now)
				}
			}
		}
		require.LessOrEqual(r, permitsInAnySecond(sent), int(testRate.PerSecond)+1+testRate.Burst)
	})
}

// Guards against a warm backend server that is limited like a cold one.
func TestReportsOfWarmServerLiftTheLimit(t *testing.T) {
	var l coldstart.Limiter
	l.SetRate(testRate, 0)
	permitted := 0
	for now := time.Duration(0); now < time.Second; now += 2 * time.Millisecond {
		if !l.Permit(now) {
			l.ReportWarm(now, now)
			require.True(t, l.Permit(now))
		}
		permitted++
	}
	require.Equal(t, 500, permitted)
}

// Guards against a node that restarts beside a cold server and sends the burst of its
// predecessor once more.
func TestLimiterStartsWithoutBurst(t *testing.T) {
	var l coldstart.Limiter
	l.SetRate(testRate, 0)
	require.False(t, l.Permit(0))
	require.Positive(t, l.NextPermit(0))
	require.LessOrEqual(t, l.NextPermit(0), time.Second/16+time.Millisecond)
	require.True(t, l.Permit(l.NextPermit(0)))
}

// Guards against a report that also discounts requests sent after it was asked for.
func TestReportDiscountsOnlyEarlierRequests(t *testing.T) {
	var l coldstart.Limiter
	l.SetRate(testRate, 0)
	l.ReportWarm(0, 0)
	const asked = 10 * time.Millisecond
	for range testRate.Burst {
		require.True(t, l.Permit(asked+time.Millisecond))
	}
	l.ReportWarm(asked, asked+2*time.Millisecond)
	require.False(t, l.Permit(asked+2*time.Millisecond))
}

func TestServiceWithoutColdRateIsUnlimited(t *testing.T) {
	var l coldstart.Limiter
	l.SetRate(coldstart.Policy{Ratio: 1.5, Slack: 8}.Rate(0), 0)
	require.False(t, l.Limited())
	for range 1000 {
		require.True(t, l.Permit(0))
	}
}

func TestColdUntilReportedTime(t *testing.T) {
	var l coldstart.Limiter
	l.SetRate(testRate, 0)
	l.ReportCold(time.Second, time.Second)
	require.True(t, l.Cold(1900*time.Millisecond))
	require.False(t, l.Cold(2*time.Second))
	l.ReportCold(time.Second, 2*time.Second)
	l.ReportWarm(2100*time.Millisecond, 2101*time.Millisecond)
	require.False(t, l.Cold(2200*time.Millisecond))
}
