package attempt

import "strings"

// Class tells what promise stands behind an id, and so how long its record lives.
type Class uint8

// The classes of ids.
const (
	// Try is one attempt of an entry, sent once and known to nobody else.
	Try Class = iota
	// Ticket was handed to a caller, who may send it again through any node.
	Ticket
	// Key is a caller's own idempotency key, at its home.
	Key
	// Exchange is an idempotent request under way. It is never recorded; an
	// entry that hears nothing asks whether it still is.
	Exchange
)

const (
	ticketPrefix   = "t:"
	keyPrefix      = "k:"
	exchangePrefix = "x:"
)

// TicketID gives the id of a ticket's attempt.
func TicketID(id string) string { return ticketPrefix + id }

// KeyID gives the id of the attempt that a caller's own key names.
func KeyID(key string) string { return keyPrefix + key }

// ExchangeID gives the id of an idempotent request on its way.
func ExchangeID(id string) string { return exchangePrefix + id }

// ClassOf tells the class of an id.
func ClassOf(id string) Class {
	switch {
	case strings.HasPrefix(id, ticketPrefix):
		return Ticket
	case strings.HasPrefix(id, keyPrefix):
		return Key
	case strings.HasPrefix(id, exchangePrefix):
		return Exchange
	}
	return Try
}
