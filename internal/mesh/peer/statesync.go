package peer

import (
	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"
)

// StateQuery asks a node for the store state that it has.
type StateQuery struct {
	// After is the revision up to which the sender has the state.
	After uint64
	// Whole requests the whole state, however large it is.
	Whole bool
}

// StateSync answers state queries of other nodes and applies the states that they send.
// Both are opaque to this package. Safe for concurrent use.
type StateSync struct {
	// Answer returns the state for a query. If it is empty, the store has to be queried.
	Answer func(StateQuery) []byte
	// Apply applies the answer to a query.
	Apply func(answer []byte)
}

var errNotConnected = eris.New("no connection to the peer is open")

// apply passes an answer on; false closes the connection.
func (s *StateSync) apply(answer []byte) bool {
	if s == nil {
		return false
	}
	s.Apply(answer)
	return true
}

// answer answers a query; false closes the connection.
func (s *StateSync) answer(w *writer, body []byte) bool {
	if s == nil {
		return false
	}
	var query stateQueryBody
	if msgpack.Unmarshal(body, &query) != nil {
		return false
	}
	// If the answer can't be sent, the connection is closed and is dialled again.
	return w.send(rawFrame(frameState, s.Answer(StateQuery(query)))) == nil
}
