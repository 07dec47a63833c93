// Package headers defines the HTTP headers of the system and removes those that
// must not be forwarded.
package headers

import (
	"net/http"
	"net/textproto"
	"strings"
)

// Headers that callers use.
const (
	// Service is the name of the service a request is for; if it is absent, Host
	// selects the service.
	Service = "Limpetdock-Service"
	// TimeoutMs is the remaining time until the deadline, in whole milliseconds.
	TimeoutMs = "Limpetdock-Timeout-Ms"
	// IdempotencyKey is a ticket issued by the system or a key chosen by the caller.
	IdempotencyKey = "Idempotency-Key"
	// RequestID identifies a request in logs and ledgers; forwarded unchanged.
	RequestID = "X-Request-Id"
	// Outcome is the outcome of the request in an answer made by the system.
	Outcome = "Limpetdock-Outcome"
	// Kind is the error kind of an answer made by the system.
	Kind = "Limpetdock-Kind"
	// Ticket is the ticket in the answer to a ticket request.
	Ticket = "Limpetdock-Ticket"
	// Depth is the number of calls in the call chain before this one; backend
	// servers forward it.
	Depth = "Limpetdock-Depth"
	// RetriesLeft is the remaining retries of a call chain; backend servers forward it.
	RetriesLeft = "Limpetdock-Retries-Left"
)

// Headers between an entry and a guard; stripped from callers' requests.
const (
	// Attempt is the id of an at-most-once attempt.
	Attempt = "Limpetdock-Attempt"
	// Incarnation is the guard's incarnation, in hexadecimal.
	Incarnation = "Limpetdock-Incarnation"
	// Tick is the last value of the guard's coarse clock that the entry received.
	Tick = "Limpetdock-Tick"
	// Exchange is the id of an idempotent request in flight, for progress checks.
	Exchange = "Limpetdock-Exchange"
	// Fleet is the name of the deployment; a guard refuses requests of others.
	Fleet = "Limpetdock-Fleet"
	// Config is the config.Stamp of the configuration under which the request was routed.
	Config = "Limpetdock-Config"
	// Collect asks for the answer of an attempt instead of running anything.
	Collect = "Limpetdock-Collect"
	// Suspect marks a request similar to one that was in flight when a backend
	// server crashed.
	Suspect = "Limpetdock-Suspect"
	// Death identifies the crash of a backend server during which a request was in flight.
	Death = "Limpetdock-Death"
	// DeathAlone is set if no other request was in flight at that crash.
	DeathAlone = "Limpetdock-Death-Alone"
	// DeathUncertain is set if only the request's own exchange broke off, so that the backend server may
	// have gone on.
	DeathUncertain = "Limpetdock-Death-Uncertain"
	// Load is a guard's load, sent with an answer within the measuring budget.
	Load = "Limpetdock-Load"
)

// internalNames are removed from messages of callers and backend servers.
var internalNames = []string{
	Attempt, Incarnation, Tick, Exchange, Config, Fleet, Collect, Suspect, Death, DeathAlone, DeathUncertain, Load, Kind, Outcome, Ticket,
}

// hopByHop are the headers that apply to a single connection (RFC 9110, section 7.6.1).
var hopByHop = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// StripHopByHop removes the hop-by-hop headers and those listed in Connection.
func StripHopByHop(h http.Header) {
	for _, line := range h["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			if name = textproto.TrimString(name); name != "" {
				h.Del(name)
			}
		}
	}
	for _, name := range hopByHop {
		delete(h, name)
	}
}

// StripInternal removes the headers that only nodes are allowed to set.
func StripInternal(h http.Header) {
	for _, name := range internalNames {
		delete(h, name)
	}
}

// Copy adds every header of src to dst. If dst has no values for a name, it shares
// those of src, which must not be modified after the call.
func Copy(dst, src http.Header) {
	for name, values := range src {
		if existing := dst[name]; len(existing) > 0 {
			values = append(existing, values...)
		}
		// The capacity is limited so that a later append to dst doesn't write into src.
		dst[name] = values[:len(values):len(values)]
	}
}

// SetAll sets each canonical name in pairs to the value that follows it. The
// values share one array, which saves an allocation for each header of a request.
func SetAll(h http.Header, pairs ...string) {
	values := make([]string, len(pairs)/2)
	for i := range values {
		values[i] = pairs[2*i+1]
		h[pairs[2*i]] = values[i : i+1 : i+1]
	}
}
