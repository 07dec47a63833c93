package clock_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetdock/limpetdock/internal/clock"
)

func TestClockStartsAtZeroAndNeverGoesBack(t *testing.T) {
	now := clock.New()
	last := now()
	require.Less(t, last, time.Minute)
	for range 1000 {
		next := now()
		require.GreaterOrEqual(t, next, last)
		last = next
	}
}

func TestSleepEndsWithTheContext(t *testing.T) {
	require.True(t, clock.Sleep(t.Context(), time.Millisecond))
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	require.False(t, clock.Sleep(ctx, time.Hour))
}
