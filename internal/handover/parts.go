package handover

import (
	"time"

	"github.com/rotisserie/eris"

	"github.com/limpetdock/limpetdock/internal/attempt"
	"github.com/limpetdock/limpetdock/internal/wire"
)

const (
	// partBytes is where a part ends; the next record begins another.
	partBytes = 256 << 10
	// takeWithin is how long after its first question a successor may take a
	// table: a process that was frozen meanwhile lets it go.
	takeWithin = 2 * time.Second
)

// Errors of a table on its way to a successor.
var (
	ErrNothing = eris.New("the peer has no key table to give")
	ErrBroken  = eris.New("the key table can't be read")
	ErrLate    = eris.New("the key table came too late")
)

// Split gives a table in parts.
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

// Send puts all parts to the first keeper that takes them, and says which. Once
// the last part has been sent, that keeper may have the whole table, whatever
// the error: no other is tried, as two processes could take the two copies.
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

// sendTo gives how many parts have been sent, the last perhaps in vain.
func sendTo(keeper, parts int, put func(keeper, part int) error) (sent int, err error) {
	for sent < parts {
		sent++
		if err = put(keeper, sent-1); err != nil {
			return sent, err
		}
	}
	return sent, nil
}

// Take is a successor's side of a transfer.
type Take struct {
	asked Moment
	table attempt.KeyTable
	next  uint32
	total uint32
	token uint64
	// Bytes counts what has come.
	Bytes int
}

// NewTake begins a transfer. It must be called before the first question is sent.
func NewTake(now Moment) *Take { return &Take{asked: now} }

// Next is the part to ask for.
func (t *Take) Next() uint32 { return t.next }

// Add takes a part and says whether more are to come.
func (t *Take) Add(p *wire.KeysPart) (more bool, err error) {
	if p.Parts == 0 {
		return false, ErrNothing
	}
	if p.Seq != t.next || t.next > 0 && (p.Parts != t.total || p.Token != t.token) {
		return false, ErrBroken
	}
	chunk, err := wire.DecodeKeys(p.Data)
	if err != nil || (chunk.Head != nil) != (t.next == 0) {
		return false, ErrBroken
	}
	if chunk.Head != nil {
		t.table.Head = *chunk.Head
	}
	t.table.Records = append(t.table.Records, chunk.Records...)
	t.token, t.total, t.next = p.Token, p.Parts, t.next+1
	t.Bytes += len(p.Data)
	return t.next < t.total, nil
}

// Table gives the whole table, unless it came too late.
func (t *Take) Table(now Moment) (*attempt.KeyTable, error) {
	switch {
	case t.total == 0 || t.next < t.total:
		return nil, ErrBroken
	case now.since(t.asked) > takeWithin:
		return nil, ErrLate
	}
	return &t.table, nil
}
