package peer

import (
	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"
)

// Question asks a node for what it knows of the store.
type Question struct {
	// After is the revision up to which the one that asks knows everything.
	After uint64
	// Whole says that everything is wanted, however large it is.
	Whole bool
}

// News answers questions of other nodes about the store and takes their answers.
// Both are opaque to this package. Safe for concurrent use.
type News struct {
	// Give answers a question; an empty answer says that the store is to be asked.
	Give func(Question) []byte
	// Take takes an answer.
	Take func(answer []byte)
}

var errNotConnected = eris.New("no connection to the peer is open")

// take takes an answer; false ends the connection.
func (n *News) take(answer []byte) bool {
	if n == nil {
		return false
	}
	n.Take(answer)
	return true
}

// give answers a question; false ends the connection.
func (n *News) give(w *writer, body []byte) bool {
	if n == nil {
		return false
	}
	var ask askBody
	if msgpack.Unmarshal(body, &ask) != nil {
		return false
	}
	// One that can't be told has its connection closed and is dialled again.
	return w.send(rawFrame(frameState, n.Give(Question(ask)))) == nil
}
