package ratelimit_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/limpetdock/limpetdock/internal/mesh/ratelimit"
)

const (
	window = 4 * time.Second
	slack  = 5
)

// Guards against more requests in any window than the limits that were in force allow, while they
// change at any time and also go to 0.
func TestNoWindowExceedsTheLimits(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		var l ratelimit.Limiter
		l.SetLimit(rapid.Float64Range(0, 20).Draw(r, "limit"), 0)
		type step struct {
			at, length time.Duration
			limit      float64
		}
		var steps []step
		var sent []time.Duration
		now := time.Duration(0)
		for now < 12*time.Second {
			length := time.Duration(rapid.IntRange(1, 200).Draw(r, "step ms")) * time.Millisecond
			limit, _ := l.Limit()
			steps = append(steps, step{now, length, limit})
			now += length
			switch rapid.IntRange(0, 19).Draw(r, "action") {
			case 0:
				l.SetLimit(rapid.Float64Range(0, 20).Draw(r, "limit"), now)
			case 1:
				l.SetLimit(0, now)
			default:
				for l.Ready(now) {
					l.Take(now)
					sent = append(sent, now)
				}
			}
		}
		for _, from := range sent {
			allowed, count := float64(slack), 0
			for _, s := range steps {
				if s.at+s.length > from && s.at < from+window {
					allowed += 1.5 * s.limit * s.length.Seconds()
				}
			}
			for _, at := range sent {
				if at >= from && at < from+window {
					count++
				}
			}
			require.LessOrEqual(r, float64(count), allowed)
		}
	})
}

// Guards against a backend server that gets less than it takes.
func TestLimitIsUsed(t *testing.T) {
	for _, limit := range []float64{0.5, 3.7, 5.1, 80} {
		var l ratelimit.Limiter
		l.SetLimit(limit, 0)
		sent := 0
		const duration = 20 * time.Second
		for now := time.Duration(0); now < duration; now += time.Millisecond {
			if l.Ready(now) {
				l.Take(now)
				sent++
			}
		}
		require.InDelta(t, limit*duration.Seconds(), sent, 0.1*limit*duration.Seconds()+1)
	}
}

func TestWaitsAreBounded(t *testing.T) {
	var l ratelimit.Limiter
	require.True(t, l.Ready(0))
	require.Zero(t, l.NextPermit(0))
	require.Zero(t, l.Interval())
	require.True(t, l.SetLimit(0, 0))
	require.False(t, l.Ready(time.Hour))
	require.Equal(t, ratelimit.MaxInterval, l.NextPermit(time.Hour))
	require.Equal(t, ratelimit.MaxInterval, l.Interval())
	require.True(t, l.SetLimit(2, time.Hour))
	require.False(t, l.SetLimit(2, time.Hour))
	require.InDelta(t, 500, l.NextPermit(time.Hour).Milliseconds(), 2)
	require.True(t, l.Lift())
	require.False(t, l.Lift())
	require.True(t, l.Ready(time.Hour))
}
