package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/limpetdock/limpetdock/internal/attempt"
	"github.com/limpetdock/limpetdock/internal/kind"
	"github.com/limpetdock/limpetdock/internal/pick"
)

// maxKeyAttempts bounds the attempts at the only target of a key or ticket. Further attempts
// are needed if the home reports a new identity, or if a copy was lost on the way.
const maxKeyAttempts = 3

// serveKey sends a request with a caller's key to the key's home and to no other target,
// because only the home knows whether a copy has run.
func (e *Entry) serveKey(ctx context.Context, w http.ResponseWriter, v *pick.View, x *request) *kind.Error {
	if e.heartbeat.MayPredatePause(openedAt(x.in), time.Now()) {
		w.Header().Set("Connection", "close")
		return kind.New(kind.KeyUnknown, "this node was paused and can't determine the request's age; send it on a new connection")
	}
	home := keyHome(x)
	var err *kind.Error
	for range maxKeyAttempts {
		var body *sentBody
		body, err = e.attemptKey(ctx, w, v, x, home)
		if err == nil {
			return nil
		}
		if err.Kind != kind.StaleAttempt || x.stream && body.bodyRead.Load() {
			break
		}
	}
	return err
}

func keyHome(x *request) *pick.Target {
	names := make([]string, len(x.service.Homes))
	for i, t := range x.service.Homes {
		names[i] = t.Place.VM
	}
	return targetOn(x, attempt.Home(x.service.Name, x.key, names))
}

func targetOn(x *request, vm string) *pick.Target {
	for _, t := range x.service.Homes {
		if t.Place.VM == vm {
			return t
		}
	}
	return nil
}

// attemptKey reads the home's identity before it checks the request's age. If the process is
// frozen in between, either the check or the home's window for ticks refuses the copy, so it
// can't run after its record was deleted.
func (e *Entry) attemptKey(ctx context.Context, w http.ResponseWriter, v *pick.View, x *request, home *pick.Target) (*sentBody, *kind.Error) {
	if home == nil || home.Guard == "" {
		return &sentBody{}, kind.New(kind.Unreachable, "the key's home server isn't listed by the platform")
	}
	id := knownIdentity(home)
	if olderThan(x.arrived, attempt.MaxKeyDelay) {
		return &sentBody{}, kind.New(kind.KeyUnknown, "the request was delayed for too long at this node")
	}
	return e.runAttempt(ctx, w, v, x, sentAttempt{target: home, id: attempt.KeyID(x.key), identity: id})
}

// olderThan compares by both clocks, because the monotonic clock stops while a VM is
// suspended.
func olderThan(t time.Time, than time.Duration) bool {
	now := time.Now()
	return now.Sub(t) > than || now.Round(0).Sub(t.Round(0)) > than
}

// hasKeyOrTicket reports whether other copies of the request may have been sent.
func (x *request) hasKeyOrTicket() bool { return x.atMostOnce && (x.key != "" || x.ticket != nil) }

// coverAllCopies changes the outcome of an error that the entry itself produced, such as a
// limit or a truncated upload. For a request with a ticket or key, "not run" would apply to
// every copy, which only its guard can know; the outcome becomes unknown.
func (x *request) coverAllCopies(err *kind.Error) *kind.Error {
	if err == nil || x == nil || !x.hasKeyOrTicket() {
		return err
	}
	if err.ReportedOutcome() == kind.NotRun && !err.FromGuard {
		err.Outcome = kind.Unknown
	}
	return err
}
