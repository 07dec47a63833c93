package progress_test

import (
	"io"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetdock/limpetdock/internal/progress"
	"github.com/limpetdock/limpetdock/internal/virtualtime"
)

// Guards against a sender that keeps a transfer open indefinitely by sending a byte from time
// to time.
func TestTransferBelowThePaceStalls(t *testing.T) {
	const pieceCount = 100
	pace := progress.Pace{StallTimeout: time.Second, BytesPerSecond: 2}
	for _, c := range []struct {
		name     string
		pause    time.Duration
		complete bool
	}{
		{"faster than the rate", pace.StallTimeout / 10, true},
		{"at the rate", pace.StallTimeout / 2, true},
		{"slower than the rate", pace.StallTimeout - time.Millisecond, false},
		{"no progress", pace.StallTimeout + time.Millisecond, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			virtualtime.Test(t, func(t *testing.T) {
				ctx, w := progress.Watch(t.Context(), pace.StallTimeout)
				defer w.Stop()
				source := &pieces{ctx, slices.Repeat([]time.Duration{c.pause}, pieceCount)}
				text, err := io.ReadAll(w.PacedReader(source, pace))
				require.ErrorIs(t, err, progress.ErrStalled)
				require.Equal(t, c.complete, len(text) == pieceCount)
			})
		})
	}
}
