package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/limpetdock/limpetdock/internal/attempt"
	"github.com/limpetdock/limpetdock/internal/kind"
	"github.com/limpetdock/limpetdock/internal/pick"
)

// keyOffers bounds the offers to the one target of a key or ticket. Later ones
// are for a home that tells its new identity, and for copies lost on the way.
const keyOffers = 3

// serveKey offers a request with a key of the caller's own to the key's home,
// and to no other target: another one can't know whether a copy has run.
func (e *Entry) serveKey(ctx context.Context, w http.ResponseWriter, v *pick.View, x *request) *kind.Error {
	if e.heartbeat.Doubts(openedAt(x.in), time.Now()) {
		w.Header().Set("Connection", "close")
		return kind.New(kind.KeyUnknown, "this node was paused and can't tell how old the request is; send it on a new connection")
	}
	home := homeOf(x)
	var err *kind.Error
	for range keyOffers {
		var body *sentBody
		body, err = e.offerKey(ctx, w, v, x, home)
		if err == nil {
			return nil
		}
		if err.Kind != kind.StaleAttempt || x.stream && body.begun.Load() {
			break
		}
	}
	return err
}

func homeOf(x *request) *pick.Target {
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

// offerKey reads the home's identity before it checks the request's age: if the
// process is frozen anywhere in between, either the check or the home's window
// for ticks refuses, and the copy can't run after its record was forgotten.
func (e *Entry) offerKey(ctx context.Context, w http.ResponseWriter, v *pick.View, x *request, home *pick.Target) (*sentBody, *kind.Error) {
	if home == nil || home.Guard == "" {
		return &sentBody{}, kind.New(kind.Unreachable, "the key's home isn't listed by the platform")
	}
	id := identityOf(home)
	if older(x.arrived, attempt.KeyDelay) {
		return &sentBody{}, kind.New(kind.KeyUnknown, "the request was held up for too long at this node")
	}
	return e.offer(ctx, w, v, x, sent{target: home, id: attempt.KeyID(x.key), identity: id})
}

// older compares by both clocks, as the monotonic one stands still while a VM is suspended.
func older(t time.Time, than time.Duration) bool {
	now := time.Now()
	return now.Sub(t) > than || now.Round(0).Sub(t.Round(0)) > than
}

// keyed says that other copies of the request may have been sent.
func (x *request) keyed() bool { return x.once && (x.key != "" || x.ticket != nil) }

// ofEveryCopy weakens what an entry concluded by itself, be it a limit or a cut
// upload: "not run" about a ticket or key speaks of every copy, and only its
// guard can know that.
func (x *request) ofEveryCopy(err *kind.Error) *kind.Error {
	if err == nil || x == nil || !x.keyed() {
		return err
	}
	if err.Said() == kind.NotRun && !err.FromGuard {
		err.Outcome = kind.Unknown
	}
	return err
}
