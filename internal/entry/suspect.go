package entry

import (
	"time"

	"github.com/limpetdock/limpetdock/internal/kind"
	"github.com/limpetdock/limpetdock/internal/pick"
	"github.com/limpetdock/limpetdock/internal/suspect"
)

// ReportSuspects sets the reporter that is notified of suspects.
func (e *Entry) ReportSuspects(a SuspectReporter) { e.reporter.Store(&a) }

// print returns the request's fingerprint, which is computed on first use.
func (x *request) print() uint64 {
	if x.fingerprint == 0 {
		x.fingerprint = suspect.Fingerprint(x.service.Name, x.in, x.body)
	}
	return x.fingerprint
}

// checkSuspect checks whether similar requests crashed backend servers. A blocked request is
// answered at once with the remaining time, because its caller would only send it again.
func (x *request) checkSuspect(v *pick.View, delay suspect.TrialDelay, now time.Duration) *kind.Error {
	if len(v.Suspects) == 0 {
		return nil
	}
	row := v.Suspects[x.print()].At(now)
	x.suspected, x.onTrial = row.Level == suspect.Suspected, row.OnTrial
	blockedFor := delay.BlockedFor(row, now)
	if blockedFor == 0 {
		return nil
	}
	e := kind.New(kind.Blocked, "requests like this one crashed backend servers")
	e.RetryAfter = blockedFor
	return e
}

// reportDeath marks the request as a suspect for its next attempt, and reports it for other
// nodes.
func (e *Entry) reportDeath(x *request, err *kind.Error) {
	if err.Death == 0 {
		return
	}
	x.suspected = x.suspected || !err.DeathUncertain
	if a := e.reporter.Load(); a != nil {
		(*a).Died(x.print(), suspect.Death{ID: err.Death, Alone: err.Alone, Trial: x.onTrial, Uncertain: err.DeathUncertain})
	}
}

// clearSuspect reports that a suspected request completed without a crash.
func (e *Entry) clearSuspect(x *request) {
	if !x.suspected {
		return
	}
	if a := e.reporter.Load(); a != nil {
		(*a).Cleared(x.print())
	}
}
