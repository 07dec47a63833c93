package entry

import (
	"time"

	"github.com/limpetdock/limpetdock/internal/kind"
	"github.com/limpetdock/limpetdock/internal/pick"
	"github.com/limpetdock/limpetdock/internal/suspect"
)

// ReportSuspects sets who is told of suspects.
func (e *Entry) ReportSuspects(a SuspectReporter) { e.reporter.Store(&a) }

// print gives the request's fingerprint, which is worked out only when needed.
func (x *request) print() uint64 {
	if x.fingerprint == 0 {
		x.fingerprint = suspect.Fingerprint(x.service.Name, x.in, x.body)
	}
	return x.fingerprint
}

// checkSuspect looks whether the request is like one that crashed backend servers.
// A blocked one is answered at once: its caller would only ask again.
func (x *request) checkSuspect(v *pick.View, now time.Duration) *kind.Error {
	if len(v.Suspects) == 0 {
		return nil
	}
	row := v.Suspects[x.print()]
	x.suspected = row.Level == suspect.Suspected
	if row.Level != suspect.Blocked {
		return nil
	}
	e := kind.New(kind.Blocked, "requests like this one crashed backend servers")
	e.RetryAfter = row.Until - now
	return e
}

// noteDeath makes the request a suspect, for its own next try and for others.
func (e *Entry) noteDeath(x *request, err *kind.Error) {
	if err.Death == 0 {
		return
	}
	x.suspected = true
	if a := e.reporter.Load(); a != nil {
		(*a).Died(x.print(), suspect.Death{ID: err.Death, Alone: err.Alone})
	}
}

// noteRun clears a suspect that has run to its end.
func (e *Entry) noteRun(x *request) {
	if !x.suspected {
		return
	}
	if a := e.reporter.Load(); a != nil {
		(*a).Cleared(x.print())
	}
}
