package attempt

import "strings"

// Class is the kind of an id. It determines how long the record is kept.
type Class uint8

// The classes of ids.
const (
	// SingleAttempt is one attempt of an entry, sent once and known to no other sender.
	SingleAttempt Class = iota
	// Ticket was issued to a caller, who may send it again through any node.
	Ticket
	// Key is a caller's own idempotency key, at its home.
	Key
	// Exchange is an idempotent request in progress. It is never recorded; an entry that
	// gets no answer asks whether it is still in progress.
	Exchange
)

const (
	ticketPrefix   = "t:"
	keyPrefix      = "k:"
	exchangePrefix = "x:"
)

// TicketID returns the id of a ticket's attempt.
func TicketID(id string) string { return ticketPrefix + id }

// KeyID returns the id of the attempt for a caller's own key.
func KeyID(key string) string { return keyPrefix + key }

// ExchangeID returns the id of an idempotent request in progress.
func ExchangeID(id string) string { return exchangePrefix + id }

// ClassOf returns the class of an id.
func ClassOf(id string) Class {
	switch {
	case strings.HasPrefix(id, ticketPrefix):
		return Ticket
	case strings.HasPrefix(id, keyPrefix):
		return Key
	case strings.HasPrefix(id, exchangePrefix):
		return Exchange
	}
	return SingleAttempt
}
