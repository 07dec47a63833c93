package guard

import (
	"net/http"
	"time"

	"github.com/limpetdock/limpetdock/internal/attempt"
	"github.com/limpetdock/limpetdock/internal/kind"
	"github.com/limpetdock/limpetdock/internal/wire"
)

// refuse turns a refusal of this copy into the truth about every copy. A ticket
// or key that is told "not run" is sealed first; if another copy has run, this
// one joins it; where neither can be known the outcome is unknown.
func (g *Guard) refuse(r *http.Request, c attempt.Claim, e *kind.Error) (*http.Response, *kind.Error) {
	if attempt.ClassOf(c.ID) == attempt.Try || e.Said() != kind.NotRun {
		return nil, e
	}
	if e.Kind == kind.StaleConfig {
		// The entry is to send this copy again once the two agree.
		e.Outcome = kind.Unknown
		return nil, e
	}
	switch g.seal(c) {
	case wire.AttemptSealed:
		e.Message += useAnother
		return nil, e
	case wire.AttemptRunning, wire.AttemptDone, wire.AttemptLost:
		return g.join(r, c.ID)
	}
	e.Outcome = kind.Unknown
	return nil, e
}

const useAnother = "; it never will under this ticket or key, take a new one"

// settle answers a copy that isn't to run.
func (g *Guard) settle(r *http.Request, c attempt.Claim, v attempt.Verdict, wait time.Duration) (*http.Response, *kind.Error) {
	switch v {
	case attempt.Known:
		return g.join(r, c.ID)
	case attempt.Full:
		return g.refuse(r, c, kind.New(kind.Overloaded, "no room for a record of the attempt"))
	}
	return nil, verdictError(c, v, wait)
}

func verdictError(c attempt.Claim, v attempt.Verdict, wait time.Duration) *kind.Error {
	switch v {
	case attempt.Conflict:
		return kind.New(kind.KeyConflict, "the ticket or key was used with another request")
	case attempt.Expired:
		return kind.New(kind.Sealed, "the ticket has expired unused; take a new one")
	case attempt.Forgotten:
		return kind.New(kind.KeyUnknown, "the ticket is so old that its outcome isn't kept any more")
	case attempt.NotHome:
		return kind.New(kind.KeyUnknown, "another target is the home of the key; the configuration is changing")
	case attempt.Young:
		e := kind.New(kind.KeyUnknown, "the key's home can't know yet whether the key has run; it takes keys again in %s", wait.Round(time.Second))
		e.RetryAfter = wait
		return e
	case attempt.Unconfirmed:
		return kind.New(kind.KeyUnknown, "the key's home hasn't seen itself confirmed by the platform; it takes no keys for now")
	case attempt.Handed:
		return kind.New(kind.KeyUnknown, "the key's home is stopping; its next process takes keys")
	}
	e := kind.New(kind.StaleAttempt, "the attempt is for another incarnation or too old")
	e.Outcome = notRunUnless(attempt.ClassOf(c.ID))
	return e
}

// notRunUnless gives the outcome of a copy that certainly didn't run. Of a
// ticket or key there may be other copies.
func notRunUnless(class attempt.Class) kind.Outcome {
	if class == attempt.Try {
		return kind.NotRun
	}
	return kind.Unknown
}

func sealedError(id string) *kind.Error {
	if attempt.ClassOf(id) == attempt.Try {
		return kind.New(kind.Sealed, "the attempt was sealed before it ran")
	}
	return kind.New(kind.Sealed, "no request has run under this ticket or key and none will; take a new one")
}
