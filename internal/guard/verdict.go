package guard

import (
	"net/http"
	"time"

	"github.com/limpetdock/limpetdock/internal/attempt"
	"github.com/limpetdock/limpetdock/internal/kind"
	"github.com/limpetdock/limpetdock/internal/wire"
)

// refuse turns the refusal of this copy into an outcome that holds for every copy of
// the attempt. A ticket or key must be sealed before it is reported as "not run". If
// another copy has run, this one joins it. If neither can be determined, the outcome
// is unknown.
func (g *Guard) refuse(r *http.Request, c attempt.Claim, e *kind.Error) (*http.Response, *kind.Error) {
	if attempt.ClassOf(c.ID) == attempt.SingleAttempt || e.ReportedOutcome() != kind.NotRun {
		return nil, e
	}
	if e.Kind == kind.StaleConfig {
		// The entry sends this copy again once both have the same configuration.
		e.Outcome = kind.Unknown
		return nil, e
	}
	switch g.seal(c) {
	case wire.AttemptSealed:
		e.Message += useNewTicket
		return nil, e
	case wire.AttemptRunning, wire.AttemptDone, wire.AttemptLost:
		return g.join(r, c.ID)
	}
	e.Outcome = kind.Unknown
	return nil, e
}

const useNewTicket = "; it will never run under this ticket or key, use a new one"

// answerCopy answers a copy that must not run.
func (g *Guard) answerCopy(r *http.Request, c attempt.Claim, v attempt.Verdict, wait time.Duration) (*http.Response, *kind.Error) {
	switch v {
	case attempt.Known:
		return g.join(r, c.ID)
	case attempt.Full:
		return g.refuse(r, c, kind.New(kind.Overloaded, "the table of attempt records is full"))
	}
	return nil, verdictError(c, v, wait)
}

func verdictError(c attempt.Claim, v attempt.Verdict, wait time.Duration) *kind.Error {
	switch v {
	case attempt.Conflict:
		return kind.New(kind.KeyConflict, "the ticket or key was used with another request")
	case attempt.Expired:
		return kind.New(kind.Sealed, "the ticket has expired unused; use a new one")
	case attempt.RecordDropped:
		return kind.New(kind.KeyUnknown, "the ticket is too old: its outcome is no longer stored")
	case attempt.NotHome:
		return kind.New(kind.KeyUnknown, "another target is the home of the key; the configuration is changing")
	case attempt.TooEarly:
		e := kind.New(kind.KeyUnknown, "the key's home has started recently and can't know whether the key has run; it accepts keys again in %s", wait.Round(time.Second))
		e.RetryAfter = wait
		return e
	case attempt.Unconfirmed:
		return kind.New(kind.KeyUnknown, "the platform hasn't confirmed the key's home recently; the home accepts no keys until it does")
	case attempt.HandedOver:
		return kind.New(kind.KeyUnknown, "the key's home is stopping; its next process accepts keys")
	}
	e := kind.New(kind.StaleAttempt, "the attempt is for another incarnation or too old")
	e.Outcome = copyOutcome(attempt.ClassOf(c.ID))
	return e
}

// copyOutcome returns the outcome of a copy that certainly didn't run. Other copies of
// a ticket or key may have run.
func copyOutcome(class attempt.Class) kind.Outcome {
	if class == attempt.SingleAttempt {
		return kind.NotRun
	}
	return kind.Unknown
}

func sealedError(id string) *kind.Error {
	if attempt.ClassOf(id) == attempt.SingleAttempt {
		return kind.New(kind.Sealed, "the attempt was sealed before it ran")
	}
	return kind.New(kind.Sealed, "no request has run under this ticket or key and none will; use a new one")
}
