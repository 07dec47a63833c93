package gate

import (
	"time"

	"github.com/limpetdock/limpetdock/internal/kind"
)

// Reason is why a request was refused. All refusals are counted by reason.
type Reason uint8

// The reasons.
const (
	notRefused Reason = iota
	// CannotBeInTime is a request in a standing queue that can't be started early enough to meet its
	// latency objective.
	CannotBeInTime
	// QueueTimeout is a request whose wait exceeds its queue timeout.
	QueueTimeout
	// PastDeadline is a request that can't be served before its deadline.
	PastDeadline
	// Evicted is a request that left a full queue in favour of one that runs before it.
	Evicted
	// QueueFull is a request for which the queue had no room, or whose backend server declares no
	// slots.
	QueueFull
	// Reserved is a request that can't be started in time because the free slots are kept for higher
	// ranks.
	Reserved
	reasonCount
)

func (r Reason) String() string {
	return [reasonCount]string{"", "cannot be in time", "queue timeout", "deadline", "evicted", "queue full", "reserved"}[r]
}

// Reasons returns all reasons.
func Reasons() (all []Reason) {
	for r := notRefused + 1; r < reasonCount; r++ {
		all = append(all, r)
	}
	return all
}

// message is the message of the refusal of a request that was in the queue.
func (r Reason) message(w *waiter) string {
	switch r {
	case CannotBeInTime:
		return "the request cannot be in time: the expected wait for a slot is too long for its latency objective"
	case PastDeadline:
		return "the expected wait for the backend server exceeds the deadline"
	case Reserved:
		return "the free slots are reserved for urgent requests, and the expected wait for another one is too long"
	case QueueTimeout:
		return w.timeoutMessage()
	}
	return "evicted from the queue to admit a request of a higher class or deeper in a call chain"
}

// refuse counts a refusal and returns it, see overloaded. The mutex is held.
func (g *Gate) refuse(r Reason, wait time.Duration, message string) *kind.Error {
	g.refusals[r]++
	return g.overloaded(wait, message)
}

// chainTimeoutMessage is the refusal of a nested call, see Gate.queueTimeout.
const chainTimeoutMessage = "the wait for a slot is too long for a nested call, as the calls above it in its chain hold slots"

// senderTimeoutMessage is the refusal of a request whose sender set its queue timeout.
const senderTimeoutMessage = "the wait for a slot exceeds the queue timeout of the request"

func (w *waiter) timeoutMessage() string {
	if w.senderTimeout {
		return senderTimeoutMessage
	}
	return chainTimeoutMessage
}
