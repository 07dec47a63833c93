package entry

import (
	"context"

	"github.com/limpetdock/limpetdock/internal/kind"
	"github.com/limpetdock/limpetdock/internal/stopping"
)

// endError returns the error for the caller of a request that failed with err: if the node
// stopped waiting for it, that is the reason.
func endError(ctx context.Context, err *kind.Error) *kind.Error {
	if err == nil || !stopping.Ended(ctx) || !mayComeFromStop(err.Kind) {
		return err
	}
	if err.ReportedOutcome() != kind.NotRun {
		return kind.New(kind.OutcomeUnknown, "the node stopped while a target may have been running the request").WithCause(err)
	}
	e := kind.New(kind.Leaving, "the node stops before the request can complete").WithCause(err)
	e.FromGuard = err.FromGuard
	return e
}

// mayComeFromStop reports whether the end of a request's context can cause an error of kind k.
func mayComeFromStop(k kind.Kind) bool {
	switch k {
	case kind.DeadlineNotRun, kind.DeadlineUnknown, kind.OutcomeUnknown, kind.BackendBroken, kind.BodyCut,
		kind.Unreachable, kind.NoTarget:
		return true
	}
	return false
}
