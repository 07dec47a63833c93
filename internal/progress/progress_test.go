package progress_test

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetdock/limpetdock/internal/progress"
	"github.com/limpetdock/limpetdock/internal/virtualtime"
)

// pieces is a reader that returns a byte after each pause, then waits for ctx.
type pieces struct {
	ctx    context.Context
	pauses []time.Duration
}

func (p *pieces) Read(b []byte) (int, error) {
	if len(p.pauses) == 0 {
		<-p.ctx.Done()
		return 0, context.Cause(p.ctx)
	}
	pause := p.pauses[0]
	p.pauses = p.pauses[1:]
	select {
	case <-time.After(pause):
		return copy(b, "x"), nil
	case <-p.ctx.Done():
		return 0, context.Cause(p.ctx)
	}
}

func TestWatchdogLimitsTheTimeForEachPieceNotForTheWhole(t *testing.T) {
	const timeout = time.Second
	slow := timeout - time.Millisecond
	for _, c := range []struct {
		name   string
		pauses []time.Duration
		bytes  int
	}{
		{"no data", nil, 0},
		{"each piece in time, the whole takes many times the timeout", []time.Duration{slow, slow, slow, slow, slow, slow}, 6},
		{"a piece is late", []time.Duration{slow, timeout + time.Millisecond, slow}, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			virtualtime.Test(t, func(t *testing.T) {
				ctx, w := progress.Watch(t.Context(), timeout)
				defer w.Stop()
				text, err := io.ReadAll(w.Reader(&pieces{ctx, c.pauses}, timeout))
				require.ErrorIs(t, err, progress.ErrStalled)
				require.Len(t, text, c.bytes)
			})
		})
	}
}

func TestStoppedWatchdogDoesNotReportAStall(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		ctx, w := progress.Watch(t.Context(), time.Second)
		w.Stop()
		time.Sleep(time.Minute)
		require.ErrorIs(t, context.Cause(ctx), context.Canceled)
	})
}
