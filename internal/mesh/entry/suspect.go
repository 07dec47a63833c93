package entry

import (
	"github.com/limpetdock/limpetdock/internal/kind"
	"github.com/limpetdock/limpetdock/internal/mesh"
	"github.com/limpetdock/limpetdock/internal/suspect"
)

// maxDeaths is after how many deaths of targets a request is still sent to another one.
const maxDeaths = 1

// crashesTooOften reports whether too many targets have died with the request in flight for another
// attempt. A request on trial may run on one target only.
func (t *transaction) crashesTooOften() bool {
	return t.deaths > maxDeaths || t.sent > 0 && t.onTrial
}

// checkSuspect checks whether the request may crash backend servers, and refuses it if it is
// blocked.
func (t *transaction) checkSuspect() *kind.Error {
	found := t.entry.Suspects.Check(t.fingerprint)
	if blockedFor := t.entry.trialDelay.BlockedFor(found, t.entry.Now()); blockedFor > 0 {
		t.level = suspect.Blocked
		return mesh.BlockedError(blockedFor)
	}
	t.level, t.onTrial = found.Level, found.OnTrial
	return nil
}

// fingerprint identifies the request among its sendings. It is that of the request that send sends.
func (t *transaction) fingerprint() uint64 {
	r := mesh.Request{
		Service: t.service, Caller: t.entry.Here.Service, Method: t.in.Method, Host: t.in.Host, URI: t.in.URI, Body: t.in.Body,
	}
	return r.Fingerprint()
}
