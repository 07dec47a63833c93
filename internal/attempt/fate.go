package attempt

import "github.com/limpetdock/limpetdock/internal/wire"

// Step is what an entry does once a guard has told the fate of an attempt.
type Step uint8

// The steps.
const (
	// Wait means that the attempt is where it should be: ask again later.
	Wait Step = iota
	// Collect means that it runs, or ran: wait for its answer and take it.
	Collect
	// Elsewhere means proof that it did not run and never will.
	Elsewhere
	// Unknown means that there is no proof and none can be had.
	Unknown
)

// Next gives the step after a guard's reply about an attempt that was sent to
// an incarnation. Only a seal by that very incarnation is proof of not run.
func Next(reply *wire.Sealed, incarnation uint64) Step {
	if reply.Incarnation != incarnation {
		return Unknown
	}
	switch reply.State {
	case wire.AttemptSealed:
		return Elsewhere
	case wire.AttemptRunning, wire.AttemptDone, wire.AttemptLost:
		return Collect
	case wire.AttemptWaiting:
		return Wait
	}
	return Unknown
}
