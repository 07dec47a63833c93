package mesh

import (
	"fmt"
	"net/http"
)

// Statement is what an answer of a backend server says about whether it ran the request.
type Statement uint8

// The statements.
const (
	// NoStatement says nothing, as most answers do: the request may have run.
	NoStatement Statement = iota
	// Rejection states that the request was not run.
	Rejection
	// Misdirection comes from another backend server than the intended one, which didn't run the request.
	Misdirection
	// Contradiction states that the request was not run, with a status that isn't a rejection's.
	Contradiction
	// UnprovenPromise has a status that callers take for a promise that the request was not run, and doesn't state
	// that.
	UnprovenPromise
)

// Statements are all statements but NoStatement.
var Statements = []Statement{Rejection, Misdirection, Contradiction, UnprovenPromise}

// String returns the name for logs and metrics.
func (s Statement) String() string {
	return [...]string{"none", "rejection", "misdirection", "contradiction", "unproven-promise"}[s]
}

// StatementOf returns what an answer says about whether the request ran.
func (d *Dialect) StatementOf(a *Answer) Statement {
	stated := a.Header.Get(d.Headers.NotRun) != ""
	switch {
	case stated && isRejection(a.Status):
		return Rejection
	case stated:
		return Contradiction
	case a.Status == http.StatusMisdirectedRequest:
		return Misdirection
	case d.Promises != nil && d.Promises(a.Status):
		return UnprovenPromise
	}
	return NoStatement
}

// isRejection reports whether a status may belong to a request that was rejected before it ran.
func isRejection(status int) bool {
	return status >= http.StatusBadRequest && status < http.StatusInternalServerError || status == http.StatusServiceUnavailable
}

// Origin describes where an answer came from, for the log.
func (a *Answer) Origin() string { return fmt.Sprintf("status %d on connection %s", a.Status, a.Conn) }
