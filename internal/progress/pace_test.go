package progress_test

import (
	"io"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetdock/limpetdock/internal/progress"
)

// Guards against a sender that gives a byte now and then and is waited for without end.
func TestPace(t *testing.T) {
	const pieceCount = 100
	pace := progress.Pace{Stall: time.Second, Rate: 2}
	for _, c := range []struct {
		name  string
		pause time.Duration
		whole bool
	}{
		{"faster than the rate", pace.Stall / 10, true},
		{"at the rate", pace.Stall / 2, true},
		{"slower than the rate", pace.Stall - time.Millisecond, false},
		{"standing still", pace.Stall + time.Millisecond, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, w := progress.Watch(t.Context(), pace.Stall)
				defer w.Stop()
				from := &pieces{ctx, slices.Repeat([]time.Duration{c.pause}, pieceCount)}
				text, err := io.ReadAll(w.Paced(from, pace))
				require.ErrorIs(t, err, progress.ErrStalled)
				require.Equal(t, c.whole, len(text) == pieceCount)
			})
		})
	}
}
