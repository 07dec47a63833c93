// Package handover carries the key table of a process that stops to the next
// process of its VM, by way of one peer that keeps it for moments. It is pure:
// time is an argument. docs/design/at-most-once.md has the histories that its
// rules answer.
package handover

import (
	"time"

	"github.com/limpetdock/limpetdock/internal/wire"
)

const (
	// MaxBytes bounds one table on its way, in bytes.
	MaxBytes = 10 << 20
	// maxKept bounds the tables that a keeper has, in bytes, and maxTables their number.
	maxKept   = 16 << 20
	maxTables = 64
	// maxParts bounds the parts of a table.
	maxParts = 4096
	// putWithin is how long after the grant the last part may come. A process
	// that is frozen in mid hand-over wakes too late for it.
	putWithin = 5 * time.Second
	// maxHold bounds what a stopping process may ask for.
	maxHold = time.Minute
)

// Moment is a time by two clocks: since the process's start, and the wall
// clock's. A suspended VM may stop either.
type Moment struct {
	Up   time.Duration
	Wall time.Time
}

// since gives the longer of the two times that have passed.
func (m Moment) since(then Moment) time.Duration {
	return max(m.Up-then.Up, m.Wall.Sub(then.Wall))
}

// Keeper has the tables of peers that stopped moments ago. It belongs to one
// goroutine.
type Keeper struct {
	tokens func() uint64
	tables map[string]*table
	room   uint64
	Counts Counts
}

// Counts count what became of tables at this keeper.
type Counts struct {
	// Kept tables have come whole; Given ones went to a successor.
	Kept  uint64 `json:"kept"`
	Given uint64 `json:"given"`
	// Refused counts offers and questions that were turned down, Dropped tables
	// that no successor got.
	Refused uint64 `json:"refused"`
	Dropped uint64 `json:"dropped"`
}

// table is one stopped process's, in parts that the keeper doesn't read.
type table struct {
	token       uint64
	incarnation uint64
	granted     Moment
	hold        time.Duration
	room, size  uint64
	parts       [][]byte
	total       uint32
	// taker is the incarnation that is getting the table, given the parts that
	// it got; a part is removed before it is sent.
	taker uint64
	given uint32
}

func (t *table) whole() bool { return t.total > 0 && len(t.parts) == int(t.total) }

// NewKeeper returns an empty Keeper. tokens gives random numbers.
func NewKeeper(tokens func() uint64) *Keeper {
	return &Keeper{tokens: tokens, tables: map[string]*table{}}
}

// Offer makes room for a table, if there is any. Its time is counted from here:
// the process that stops seals its table only after it got the grant, so
// however late the parts come, they aren't taken for younger than they are.
// newest is the newest incarnation of the VM that the keeper has heard of.
func (k *Keeper) Offer(m *wire.KeysOffer, newest uint64, now Moment) *wire.KeysGrant {
	k.Sweep(now)
	old := k.tables[m.VM]
	switch {
	case m.Format != wire.KeysFormat, m.Bytes > MaxBytes, newest > m.Incarnation:
		return k.refuse()
	case old != nil && (old.incarnation > m.Incarnation || old.incarnation == m.Incarnation && old.whole()):
		return k.refuse()
	}
	if old != nil {
		k.drop(m.VM)
	}
	if k.room+m.Bytes > maxKept || len(k.tables) >= maxTables {
		return k.refuse()
	}
	t := &table{
		token: max(1, k.tokens()), incarnation: m.Incarnation, granted: now, room: m.Bytes,
		hold: min(time.Duration(m.HoldMs)*time.Millisecond, maxHold),
	}
	k.tables[m.VM] = t
	k.room += t.room
	return &wire.KeysGrant{Token: t.token}
}

func (k *Keeper) refuse() *wire.KeysGrant {
	k.Counts.Refused++
	return &wire.KeysGrant{}
}

// Put takes the next part of a table. The last one again is acknowledged again.
func (k *Keeper) Put(vm string, m *wire.KeysPart, now Moment) *wire.KeysKept {
	k.Sweep(now)
	t := k.tables[vm]
	if t == nil || t.token != m.Token || m.Parts == 0 || m.Parts > maxParts || now.since(t.granted) > putWithin {
		return &wire.KeysKept{}
	}
	next := uint32(len(t.parts))
	if m.Seq+1 == next && m.Parts == t.total {
		return &wire.KeysKept{OK: true}
	}
	if m.Seq != next || t.total != 0 && m.Parts != t.total || next == m.Parts || t.size+uint64(len(m.Data)) > t.room {
		k.drop(vm)
		return &wire.KeysKept{}
	}
	t.total = m.Parts
	t.size += uint64(len(m.Data))
	t.parts = append(t.parts, m.Data)
	if t.whole() {
		k.Counts.Kept++
	}
	return &wire.KeysKept{OK: true}
}

// Give gives the next part of a table to the first successor that asks, and to
// no other, each part once. A part on its way that gets lost is lost: two
// processes that each got the table would both be home of its keys. newest is
// the newest incarnation of the VM that the keeper has heard of; one between the
// two may have run keys that aren't in the table.
func (k *Keeper) Give(m *wire.KeysAsk, newest uint64, now Moment) *wire.KeysPart {
	k.Sweep(now)
	t := k.tables[m.VM]
	if t == nil || !t.whole() || m.Format != wire.KeysFormat || m.Incarnation <= t.incarnation {
		return &wire.KeysPart{}
	}
	between := newest > t.incarnation && newest != m.Incarnation
	if t.given == 0 && m.Seq == 0 && !between {
		t.taker = m.Incarnation
	}
	if between || t.taker != m.Incarnation || m.Seq != t.given {
		k.Counts.Refused++
		k.drop(m.VM)
		return &wire.KeysPart{}
	}
	part := &wire.KeysPart{Token: t.token, Seq: m.Seq, Parts: t.total, Data: t.parts[m.Seq]}
	t.parts[m.Seq] = nil
	t.given++
	if t.given == t.total {
		k.Counts.Given++
		k.remove(m.VM)
	}
	return part
}

// Sweep drops tables whose time has passed.
func (k *Keeper) Sweep(now Moment) {
	for vm, t := range k.tables {
		if now.since(t.granted) > t.hold || !t.whole() && now.since(t.granted) > putWithin {
			k.drop(vm)
		}
	}
}

func (k *Keeper) drop(vm string) {
	k.Counts.Dropped++
	k.remove(vm)
}

func (k *Keeper) remove(vm string) {
	k.room -= k.tables[vm].room
	delete(k.tables, vm)
}

// Held is a table at the keeper, for people to read.
type Held struct {
	Incarnation uint64 `json:"incarnation"`
	Bytes       uint64 `json:"bytes"`
	Whole       bool   `json:"whole"`
}

// Held gives the tables that the keeper has, by VM.
func (k *Keeper) Held() map[string]Held {
	out := make(map[string]Held, len(k.tables))
	for vm, t := range k.tables {
		out[vm] = Held{Incarnation: t.incarnation, Bytes: t.size, Whole: t.whole()}
	}
	return out
}
