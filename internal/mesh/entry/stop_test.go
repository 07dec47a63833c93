package entry_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetdock/limpetdock/internal/kind"
	"github.com/limpetdock/limpetdock/internal/mesh"
	"github.com/limpetdock/limpetdock/internal/stopping"
)

// Guards against an answer that leaves the outcome open, or claims too much, for a request that
// the node can't wait for any longer.
func TestRequestCutOffByStopReportsWhetherItMayHaveRun(t *testing.T) {
	cases := map[string]struct {
		attempt kind.Outcome
		kind    kind.Kind
		want    kind.Outcome
	}{
		"it waits for a target":      {kind.NotRun, kind.Leaving, kind.NotRun},
		"a target may be running it": {kind.Unknown, kind.OutcomeUnknown, kind.Unknown},
	}
	for name, one := range cases {
		t.Run(name, func(t *testing.T) {
			d := newDeployment(t, false)
			ctx, stop := context.WithCancelCause(t.Context())
			d.answers[own] = func(*mesh.Request) (*mesh.Answer, *kind.Error) {
				stop(stopping.Err)
				e := mesh.CancelledError(ctx)
				e.Outcome = one.attempt
				return nil, e
			}
			_, err := d.entry.Serve(ctx, d.request(0))
			require.Equal(t, one.kind, err.Kind)
			require.Equal(t, one.want, err.ReportedOutcome())
			require.Equal(t, one.want == kind.NotRun, err.RetryAfter > 0)
			require.Len(t, d.attempted, 1)
		})
	}
}

// Guards against a request that is held until the process ends although it is known that no
// target can complete it before.
func TestRequestThatCannotCompleteBeforeProcessEndsIsRefusedAtOnce(t *testing.T) {
	d := newDeployment(t, false)
	d.route.Timeout = 10 * time.Second
	d.setBusy(100, own, "zone", "region", "far")
	d.entry.Stop(d.now + time.Second)
	_, err := d.serve()
	require.Equal(t, kind.Leaving, err.Kind)
	require.Equal(t, kind.NotRun, err.ReportedOutcome())
	require.Positive(t, err.RetryAfter)
	require.Empty(t, d.attempted)
}

// Guards against a target that works on a request after the process that would deliver its answer
// has ended.
func TestTargetGetsNoMoreTimeThanTheProcessHas(t *testing.T) {
	const left = 4 * time.Second
	d := newDeployment(t, false)
	d.route.Timeout = 10 * time.Second
	d.entry.Stop(d.now + left)
	d.answers[own] = func(r *mesh.Request) (*mesh.Answer, *kind.Error) {
		require.LessOrEqual(t, r.Remaining, left)
		d.now += r.Remaining
		return nil, kind.New(kind.DeadlineUnknown, "test")
	}
	_, err := d.serve()
	require.Equal(t, kind.OutcomeUnknown, err.Kind, "the caller's own deadline has not passed")
}

// Guards against a refusal that blames the stop although the process has time left.
func TestOtherErrorsOfStoppingNodeKeepTheirReason(t *testing.T) {
	d := newDeployment(t, false)
	d.route.Timeout = 10 * time.Second
	d.entry.Stop(d.now + 4*time.Second)
	d.answers[own] = failing(kind.DeadlineNotRun)
	_, err := d.serve()
	require.Equal(t, kind.DeadlineNotRun, err.Kind)
}
