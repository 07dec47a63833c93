// Package headers names the HTTP headers of the system, and those that may not
// travel from one exchange to the next.
package headers

import (
	"net/http"
	"net/textproto"
	"strings"
)

// Headers that callers use.
const (
	// Service names the service a request is for; without it Host does.
	Service = "Limpetdock-Service"
	// TimeoutMs is what is left of the deadline, in whole milliseconds.
	TimeoutMs = "Limpetdock-Timeout-Ms"
	// IdempotencyKey is a ticket of the system or a key of the caller's own.
	IdempotencyKey = "Idempotency-Key"
	// RequestID identifies a request in logs and ledgers; handed on unchanged.
	RequestID = "X-Request-Id"
	// Outcome is what a system answer says about the request.
	Outcome = "Limpetdock-Outcome"
	// Kind is the error kind of a system answer.
	Kind = "Limpetdock-Kind"
	// Ticket is the ticket in the answer of a ticket request.
	Ticket = "Limpetdock-Ticket"
	// Depth counts the calls that led to this one; backend servers hand it on.
	Depth = "Limpetdock-Depth"
	// RetriesLeft is what is left of a call chain's retries; backend servers hand it on.
	RetriesLeft = "Limpetdock-Retries-Left"
)

// Headers between an entry and a guard; stripped from callers' requests.
const (
	// Attempt is the id of an at-most-once attempt.
	Attempt = "Limpetdock-Attempt"
	// Incarnation is the guard's incarnation, in hexadecimal.
	Incarnation = "Limpetdock-Incarnation"
	// Tick is the guard's own coarse tick as the entry learnt it.
	Tick = "Limpetdock-Tick"
	// Exchange is the id of an idempotent request on its way, for progress checks.
	Exchange = "Limpetdock-Exchange"
	// Fleet is the name of the deployment; a guard refuses others.
	Fleet = "Limpetdock-Fleet"
	// Config is the config.Stamp of the configuration that routed the request.
	Config = "Limpetdock-Config"
	// Collect asks for the answer of an attempt instead of running anything.
	Collect = "Limpetdock-Collect"
	// Suspect marks a request whose like was in flight when a backend server died.
	Suspect = "Limpetdock-Suspect"
	// Death names the death of the backend server that a request was in flight at.
	Death = "Limpetdock-Death"
	// DeathAlone says that nothing else ran at that death.
	DeathAlone = "Limpetdock-Death-Alone"
	// Load carries a guard's load on a reply, under the measuring budget.
	Load = "Limpetdock-Load"
)

// internalNames are removed from what callers and backend servers send.
var internalNames = []string{
	Attempt, Incarnation, Tick, Exchange, Config, Fleet, Collect, Suspect, Death, DeathAlone, Load, Kind, Outcome, Ticket,
}

// hopByHop are the headers of one connection only (RFC 9110, section 7.6.1).
var hopByHop = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// StripHop removes the headers of one connection, and those Connection names.
func StripHop(h http.Header) {
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

// StripInternal removes the headers that only nodes may set.
func StripInternal(h http.Header) {
	for _, name := range internalNames {
		delete(h, name)
	}
}

// Copy adds every header of src to dst. Where dst has none of a name yet, both
// share the values from then on; nobody may change those of src any more.
func Copy(dst, src http.Header) {
	for name, values := range src {
		if had := dst[name]; len(had) > 0 {
			values = append(had, values...)
		}
		// Without room behind them, a later append to dst doesn't write into src.
		dst[name] = values[:len(values):len(values)]
	}
}

// SetAll sets each canonical name to the value that follows it. The values share
// one array, so that a request on its way costs one allocation and not one each.
func SetAll(h http.Header, pairs ...string) {
	values := make([]string, len(pairs)/2)
	for i := range values {
		values[i] = pairs[2*i+1]
		h[pairs[2*i]] = values[i : i+1 : i+1]
	}
}
