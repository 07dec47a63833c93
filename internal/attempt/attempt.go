// Package attempt is a guard's record of at-most-once attempts: which ones may
// start, which run, and the answers of those that are done. It is pure: time
// is an argument, and nothing waits. docs/design/at-most-once.md has the
// histories that its rules answer.
package attempt

import (
	"net/http"
	"time"

	"github.com/limpetdock/limpetdock/internal/wire"
)

const (
	// Window is how old a guard's tick may be in an attempt that may start.
	// Records are kept longer than it, so a delayed copy always meets its record.
	Window = 30 * time.Second
	// TicketWindow is how long after its issue a ticket may start to run.
	TicketWindow = 5 * time.Minute
	// keep is how long a record outlives its last change.
	keep = 2 * Window
	// TickEvery is the length of a guard's coarse tick.
	TickEvery = 250 * time.Millisecond
	// MaxAnswer is the largest answer that is kept, in bytes.
	MaxAnswer = 64 << 10
	// maxRecords bounds the table; when it is full no new attempt starts.
	maxRecords = 100_000
	// maxStored bounds the bytes of kept answers, headers included.
	maxStored = 32 << 20
)

// Answer is a whole answer of the backend server.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}

// size is the memory an answer takes, roughly, in bytes.
func (a *Answer) size() int {
	n := len(a.Body)
	for name, values := range a.Header {
		for _, v := range values {
			n += len(name) + len(v)
		}
	}
	return n
}

type record struct {
	state       wire.AttemptState
	changed     time.Duration
	fingerprint uint64
	answer      *Answer
	done        chan struct{}
	// id and next are set once the record has ended.
	id   string
	next *record
}

// Table is the record of one incarnation. It belongs to its caller's mutex.
type Table struct {
	incarnation uint64
	records     map[string]*record
	// present counts the requests that are at the guard and not recorded:
	// attempts in its queue, and idempotent requests.
	present map[string]int
	stored  int
	// aging are the records that have ended, by class.
	aging [Exchange]aging
	keys  keyRules
}

// NewTable returns the empty table of an incarnation.
func NewTable(incarnation uint64) *Table {
	return &Table{incarnation: incarnation, records: map[string]*record{}, present: map[string]int{}}
}

// Tick gives the guard's coarse tick at now.
func Tick(now time.Duration) uint64 { return uint64(now / TickEvery) }

// Claim is an attempt that asks to run.
type Claim struct {
	ID string
	// Incarnation and Tick are the guard's own, as the sender learnt them.
	Incarnation, Tick uint64
	// Fingerprint tells requests under one ticket or key apart.
	Fingerprint uint64
}

// Verdict says what becomes of a Claim.
type Verdict uint8

// The verdicts.
const (
	// Start means that the attempt has been recorded and its caller must run it.
	Start Verdict = iota
	// Known means that a record exists already; this copy must not run.
	Known
	// Conflict means that the ticket or key was used with another request.
	Conflict
	// Stale means another incarnation, or a tick older than the window. This
	// copy does not run; for tickets and keys that says nothing of other copies.
	Stale
	// Expired means a ticket past its window that never ran here and never will.
	Expired
	// Forgotten means a ticket so old that its record would be gone.
	Forgotten
	// NotHome means a key whose home is another target.
	NotHome
	// Young means a key that may be older than this table's memory.
	Young
	// Unconfirmed means a key while the platform hasn't confirmed for long that
	// this VM is still the one that is declared.
	Unconfirmed
	// Handed means a key after the keys were sealed for a successor.
	Handed
	// Full means that there is no room for a record.
	Full
)

// Begin records an attempt if it may start. With Young it tells how long the
// caller has to wait until the key would be taken.
func (t *Table) Begin(c Claim, now time.Duration) (v Verdict, wait time.Duration) {
	v, wait = t.Check(c, now)
	if v == Start {
		t.records[c.ID] = &record{
			state: wire.AttemptRunning, changed: now, fingerprint: c.Fingerprint, done: make(chan struct{}),
		}
	}
	return v, wait
}

// Check says what Begin would, and records nothing.
func (t *Table) Check(c Claim, now time.Duration) (v Verdict, wait time.Duration) {
	t.sweep(now)
	if r := t.records[c.ID]; r != nil {
		if r.state != wire.AttemptSealed && r.fingerprint != c.Fingerprint {
			return Conflict, 0
		}
		return Known, 0
	}
	class := ClassOf(c.ID)
	if c.Incarnation != t.incarnation || c.Tick > Tick(now) {
		return Stale, 0
	}
	if age := now - time.Duration(c.Tick)*TickEvery; age > window(class) {
		return tooOld(class, age), 0
	}
	if class == Key {
		if v, wait := t.keys.check(c.ID, now); v != Start {
			return v, wait
		}
	}
	if len(t.records) >= maxRecords {
		return Full, 0
	}
	return Start, 0
}

func window(c Class) time.Duration {
	switch c {
	case Ticket:
		return TicketWindow
	case Key:
		return keyWindow
	}
	return Window
}

// tooOld tells what an old tick means. A ticket's record, had there been one,
// would be kept for its window and keep after the tick: until then its absence
// proves that no copy has run, and the tick that none will.
func tooOld(class Class, age time.Duration) Verdict {
	switch {
	case class != Ticket:
		return Stale
	case age <= TicketWindow+keep:
		return Expired
	}
	return Forgotten
}

// Abort turns a running record whose request never reached the backend server
// into a sealed one: it was not run and never will be.
func (t *Table) Abort(id string, now time.Duration) {
	t.finish(id, wire.AttemptSealed, nil, now)
}

// Finish records a whole answer; a nil answer is one that can't be kept.
func (t *Table) Finish(id string, a *Answer, now time.Duration) {
	if a == nil || len(a.Body) > MaxAnswer || t.stored+a.size() > maxStored {
		t.finish(id, wire.AttemptLost, nil, now)
		return
	}
	t.finish(id, wire.AttemptDone, a, now)
}

func (t *Table) finish(id string, state wire.AttemptState, a *Answer, now time.Duration) {
	r := t.records[id]
	if r == nil || r.state != wire.AttemptRunning {
		return
	}
	r.answer = a
	if a != nil {
		t.stored += a.size()
	}
	t.end(id, r, state, now)
}

// Seal tells what became of an attempt. One that hasn't started is sealed,
// unless askOnly is set: from then on "not run" is true of every copy.
func (t *Table) Seal(c Claim, askOnly bool, now time.Duration) wire.AttemptState {
	t.sweep(now)
	class := ClassOf(c.ID)
	if c.Incarnation != t.incarnation && class != Exchange {
		return wire.AttemptElsewhere
	}
	if r := t.records[c.ID]; r != nil {
		return r.state
	}
	if t.present[c.ID] > 0 && (askOnly || class == Exchange) {
		return wire.AttemptWaiting
	}
	if askOnly || class == Exchange || !t.proves(c, now) || len(t.records) >= maxRecords {
		return wire.AttemptAbsent
	}
	r := &record{}
	t.records[c.ID] = r
	t.end(c.ID, r, wire.AttemptSealed, now)
	return wire.AttemptSealed
}

// proves says whether the absence of a record proves that no copy has run. An
// entry that was frozen may ask so late that the record has come and gone.
func (t *Table) proves(c Claim, now time.Duration) bool {
	age := now - time.Duration(c.Tick)*TickEvery
	switch ClassOf(c.ID) {
	case Key:
		return age <= keyWindow && t.keys.takes(c.ID, now)
	case Ticket:
		return age <= TicketWindow+keep
	}
	return age <= keep
}

// Arrive notes that a request is at the guard without a record.
func (t *Table) Arrive(id string) { t.present[id]++ }

// Depart takes back one Arrive.
func (t *Table) Depart(id string) {
	if t.present[id]--; t.present[id] <= 0 {
		delete(t.present, id)
	}
}

// Look gives the state of a record, its answer if it is kept, and a channel
// that is closed once the attempt has ended.
func (t *Table) Look(id string) (wire.AttemptState, *Answer, <-chan struct{}) {
	r := t.records[id]
	if r == nil {
		return wire.AttemptAbsent, nil, nil
	}
	return r.state, r.answer, r.done
}

// Len gives the number of records and the bytes of kept answers.
func (t *Table) Len() (records, stored int) { return len(t.records), t.stored }

// keepFor is how long a record outlives its last change.
func (t *Table) keepFor(c Class) time.Duration {
	switch c {
	case Ticket:
		return TicketWindow + keep
	case Key:
		return t.keys.keep()
	}
	return keep
}
