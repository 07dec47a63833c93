package attempt

import "github.com/limpetdock/limpetdock/internal/wire"

// Step is the next action of an entry after a guard has reported the outcome of an
// attempt.
type Step uint8

// The steps.
const (
	// Wait means that the attempt is waiting at the guard: ask again later.
	Wait Step = iota
	// Collect means that it runs or ran: wait for its answer and collect it.
	Collect
	// RetryElsewhere means proof that it did not run and never will.
	RetryElsewhere
	// Unknown means that there is no proof and none can be obtained.
	Unknown
)

// NextStep returns the step after a guard's reply about an attempt that was sent to an
// incarnation. Only a seal by that same incarnation proves that it did not run.
func NextStep(reply *wire.Sealed, incarnation uint64) Step {
	if reply.Incarnation != incarnation {
		return Unknown
	}
	switch reply.State {
	case wire.AttemptSealed:
		return RetryElsewhere
	case wire.AttemptRunning, wire.AttemptDone, wire.AttemptLost:
		return Collect
	case wire.AttemptWaiting:
		return Wait
	}
	return Unknown
}
