package handover

import (
	"time"

	"github.com/rotisserie/eris"

	"github.com/limpetdock/limpetdock/internal/attempt"
	"github.com/limpetdock/limpetdock/internal/wire"
)

const (
	// partBytes is the size at which a part is closed; the next record begins another.
	partBytes = 256 << 10
	// transferTimeout is how long after its first request a successor may use a table. A
	// process that was frozen in the meantime discards it.
	transferTimeout = 2 * time.Second
)

// Errors of the transfer to a successor.
var (
	ErrNoTable = eris.New("the peer has no key table for this node")
	ErrInvalid = eris.New("the key table can't be decoded")
	ErrExpired = eris.New("the key table arrived too late")
)

// Split returns a table in encoded parts.
func Split(t *attempt.KeyTable) ([][]byte, error) {
	var parts [][]byte
	chunk := &wire.KeysChunk{Head: &t.Head}
	size := 0
	flush := func() error {
		data, err := wire.EncodeKeys(chunk)
		parts = append(parts, data)
		chunk, size = &wire.KeysChunk{}, 0
		return err
	}
	for _, r := range t.Records {
		if size >= partBytes {
			if err := flush(); err != nil {
				return nil, err
			}
		}
		chunk.Records = append(chunk.Records, r)
		size += attempt.RecordSize(&r)
	}
	return parts, flush()
}

// Send sends all parts to the first keeper that accepts them, and returns its index.
// Once the last part has been sent, that keeper may have the complete table even if
// the call failed. No other keeper is tried then, as two processes could each receive
// one of the copies.
func Send(keepers, parts int, put func(keeper, part int) error) (to int, ok bool) {
	for to = range keepers {
		sent, err := sendTo(to, parts, put)
		if err == nil {
			return to, true
		}
		if sent == parts {
			break
		}
	}
	return 0, false
}

// sendTo returns the number of parts sent, including one that failed.
func sendTo(keeper, parts int, put func(keeper, part int) error) (sent int, err error) {
	for sent < parts {
		sent++
		if err = put(keeper, sent-1); err != nil {
			return sent, err
		}
	}
	return sent, nil
}

// Transfer assembles a table that a successor receives from a keeper.
type Transfer struct {
	requested Moment
	table     attempt.KeyTable
	next      uint32
	total     uint32
	token     uint64
	// Bytes counts the bytes received.
	Bytes int
}

// NewTransfer begins a transfer. It must be called before the first request is sent.
func NewTransfer(now Moment) *Transfer { return &Transfer{requested: now} }

// Next returns the number of the part to ask for.
func (t *Transfer) Next() uint32 { return t.next }

// Add appends a part and reports whether there are more.
func (t *Transfer) Add(p *wire.KeysPart) (more bool, err error) {
	if p.Parts == 0 {
		return false, ErrNoTable
	}
	if p.Seq != t.next || t.next > 0 && (p.Parts != t.total || p.Token != t.token) {
		return false, ErrInvalid
	}
	chunk, err := wire.DecodeKeys(p.Data)
	if err != nil || (chunk.Head != nil) != (t.next == 0) {
		return false, ErrInvalid
	}
	if chunk.Head != nil {
		t.table.Head = *chunk.Head
	}
	t.table.Records = append(t.table.Records, chunk.Records...)
	t.token, t.total, t.next = p.Token, p.Parts, t.next+1
	t.Bytes += len(p.Data)
	return t.next < t.total, nil
}

// Table returns the complete table, or ErrExpired after transferTimeout.
func (t *Transfer) Table(now Moment) (*attempt.KeyTable, error) {
	switch {
	case t.total == 0 || t.next < t.total:
		return nil, ErrInvalid
	case now.since(t.requested) > transferTimeout:
		return nil, ErrExpired
	}
	return &t.table, nil
}
