// Package handover transfers the key table of a stopping process to the next process
// of its VM, through one peer that stores it for a short time. The package has no I/O:
// the time is an argument. The cases that its rules cover are described in
// docs/design/at-most-once.md.
package handover

import (
	"time"

	"github.com/limpetdock/limpetdock/internal/wire"
)

const (
	// MaxBytes is the largest size of one transferred table, in bytes.
	MaxBytes = 10 << 20
	// maxStoredBytes bounds the tables that a keeper stores, in bytes, and maxTables
	// their number.
	maxStoredBytes = 16 << 20
	maxTables      = 64
	// maxParts bounds the parts of a table.
	maxParts = 4096
	// putTimeout is how long after the grant the last part is accepted. A process that
	// is frozen during the handover and resumes later is refused.
	putTimeout = 5 * time.Second
	// maxHold bounds the storage time that a stopping process may ask for.
	maxHold = time.Minute
)

// Moment is a time on two clocks: the time since the process's start, and the wall
// clock. Either clock may stop while a VM is suspended.
type Moment struct {
	Up   time.Duration
	Wall time.Time
}

// since returns the longer of the elapsed times on the two clocks.
func (m Moment) since(then Moment) time.Duration {
	return max(m.Up-then.Up, m.Wall.Sub(then.Wall))
}

// Keeper stores the tables of peers that stopped a short time ago. It is not safe for
// concurrent use.
type Keeper struct {
	tokens   func() uint64
	tables   map[string]*table
	reserved uint64
	Counts   Counts
}

// Counts counts the outcomes of tables at this keeper.
type Counts struct {
	// Stored counts tables received completely, Sent those sent to a successor.
	Stored uint64 `json:"kept"`
	Sent   uint64 `json:"given"`
	// Refused counts refused offers and requests, Dropped tables that were deleted
	// before a successor had received them.
	Refused uint64 `json:"refused"`
	Dropped uint64 `json:"dropped"`
}

// table is the table of one stopped process, in parts that the keeper doesn't decode.
type table struct {
	token          uint64
	incarnation    uint64
	granted        Moment
	hold           time.Duration
	reserved, size uint64
	parts          [][]byte
	total          uint32
	// successor is the incarnation that receives the table, and sentParts the number of
	// parts sent to it. A part is removed before it is sent.
	successor uint64
	sentParts uint32
}

func (t *table) complete() bool { return t.total > 0 && len(t.parts) == int(t.total) }

// NewKeeper returns an empty Keeper. tokens returns random numbers.
func NewKeeper(tokens func() uint64) *Keeper {
	return &Keeper{tokens: tokens, tables: map[string]*table{}}
}

// Offer reserves memory for a table, if there is enough. The table's age counts from
// here: the stopping process seals its table only after it has received the grant, so
// late parts never make the table look newer than it is. newest is the newest
// incarnation of the VM that the keeper has seen.
func (k *Keeper) Offer(m *wire.KeysOffer, newest uint64, now Moment) *wire.KeysGrant {
	k.Sweep(now)
	old := k.tables[m.VM]
	switch {
	case m.Format != wire.KeysFormat, m.Bytes > MaxBytes, newest > m.Incarnation:
		return k.refuse()
	case old != nil && (old.incarnation > m.Incarnation || old.incarnation == m.Incarnation && old.complete()):
		return k.refuse()
	}
	if old != nil {
		k.drop(m.VM)
	}
	if k.reserved+m.Bytes > maxStoredBytes || len(k.tables) >= maxTables {
		return k.refuse()
	}
	t := &table{
		token: max(1, k.tokens()), incarnation: m.Incarnation, granted: now, reserved: m.Bytes,
		hold: min(time.Duration(m.HoldMs)*time.Millisecond, maxHold),
	}
	k.tables[m.VM] = t
	k.reserved += t.reserved
	return &wire.KeysGrant{Token: t.token}
}

func (k *Keeper) refuse() *wire.KeysGrant {
	k.Counts.Refused++
	return &wire.KeysGrant{}
}

// Put stores the next part of a table. A repetition of the last part received is
// acknowledged again.
func (k *Keeper) Put(vm string, m *wire.KeysPart, now Moment) *wire.KeysAck {
	k.Sweep(now)
	t := k.tables[vm]
	if t == nil || t.token != m.Token || m.Parts == 0 || m.Parts > maxParts || now.since(t.granted) > putTimeout {
		return &wire.KeysAck{}
	}
	next := uint32(len(t.parts))
	if m.Seq+1 == next && m.Parts == t.total {
		return &wire.KeysAck{OK: true}
	}
	if m.Seq != next || t.total != 0 && m.Parts != t.total || next == m.Parts || t.size+uint64(len(m.Data)) > t.reserved {
		k.drop(vm)
		return &wire.KeysAck{}
	}
	t.total = m.Parts
	t.size += uint64(len(m.Data))
	t.parts = append(t.parts, m.Data)
	if t.complete() {
		k.Counts.Stored++
	}
	return &wire.KeysAck{OK: true}
}

// ServePart returns the next part of a table to the first successor that asks, and to
// no other, each part once. A part that is lost on the way is not sent again: two
// processes with the same table would both be home of its keys. newest is the newest
// incarnation of the VM that the keeper has seen. An incarnation between the two may
// have run keys that aren't in the table.
func (k *Keeper) ServePart(m *wire.KeysRequest, newest uint64, now Moment) *wire.KeysPart {
	k.Sweep(now)
	t := k.tables[m.VM]
	if t == nil || !t.complete() || m.Format != wire.KeysFormat || m.Incarnation <= t.incarnation {
		return &wire.KeysPart{}
	}
	between := newest > t.incarnation && newest != m.Incarnation
	if t.sentParts == 0 && m.Seq == 0 && !between {
		t.successor = m.Incarnation
	}
	if between || t.successor != m.Incarnation || m.Seq != t.sentParts {
		k.Counts.Refused++
		k.drop(m.VM)
		return &wire.KeysPart{}
	}
	part := &wire.KeysPart{Token: t.token, Seq: m.Seq, Parts: t.total, Data: t.parts[m.Seq]}
	t.parts[m.Seq] = nil
	t.sentParts++
	if t.sentParts == t.total {
		k.Counts.Sent++
		k.remove(m.VM)
	}
	return part
}

// Sweep deletes expired tables.
func (k *Keeper) Sweep(now Moment) {
	for vm, t := range k.tables {
		if now.since(t.granted) > t.hold || !t.complete() && now.since(t.granted) > putTimeout {
			k.drop(vm)
		}
	}
}

func (k *Keeper) drop(vm string) {
	k.Counts.Dropped++
	k.remove(vm)
}

func (k *Keeper) remove(vm string) {
	k.reserved -= k.tables[vm].reserved
	delete(k.tables, vm)
}

// TableInfo describes a stored table on the status page.
type TableInfo struct {
	Incarnation uint64 `json:"incarnation"`
	Bytes       uint64 `json:"bytes"`
	Whole       bool   `json:"whole"`
}

// Tables returns the stored tables, by VM.
func (k *Keeper) Tables() map[string]TableInfo {
	out := make(map[string]TableInfo, len(k.tables))
	for vm, t := range k.tables {
		out[vm] = TableInfo{Incarnation: t.incarnation, Bytes: t.size, Whole: t.complete()}
	}
	return out
}
