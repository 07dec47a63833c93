// Package attempt implements a guard's table of at-most-once attempts: which ones may
// start, which are running, and the answers of those that have ended. The package has
// no I/O and never waits: the time is an argument. The cases that its rules cover are
// described in docs/design/at-most-once.md.
package attempt

import (
	"net/http"
	"time"

	"github.com/limpetdock/limpetdock/internal/wire"
)

const (
	// Window is how old a guard's tick may be in an attempt that may start. Records are
	// kept longer, so a delayed copy always finds the record of the first one.
	Window = 30 * time.Second
	// TicketWindow is how long after its issue a ticket may start to run.
	TicketWindow = 5 * time.Minute
	// retention is how long a record is kept after its last change.
	retention = 2 * Window
	// TickInterval is the length of a guard's coarse tick.
	TickInterval = 250 * time.Millisecond
	// MaxAnswer is the largest answer that is stored, in bytes.
	MaxAnswer = 64 << 10
	// maxRecords bounds the table; when it is full no new attempt starts.
	maxRecords = 100_000
	// maxStored bounds the bytes of stored answers, headers included.
	maxStored = 32 << 20
)

// Answer is a complete answer of the backend server.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}

// size returns the approximate memory of an answer, in bytes.
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

// Table holds the attempt records of one incarnation. It is not safe for concurrent
// use.
type Table struct {
	incarnation uint64
	records     map[string]*record
	// present counts the requests at the guard that have no record: attempts in its
	// queue, and idempotent requests.
	present map[string]int
	stored  int
	// aging lists the records that have ended, by class.
	aging [Exchange]aging
	keys  keyRules
}

// NewTable returns the empty table of an incarnation.
func NewTable(incarnation uint64) *Table {
	return &Table{incarnation: incarnation, records: map[string]*record{}, present: map[string]int{}}
}

// Tick returns the guard's coarse tick at now.
func Tick(now time.Duration) uint64 { return uint64(now / TickInterval) }

// Claim is a request to start an attempt.
type Claim struct {
	ID string
	// Incarnation and Tick are the guard's own, as last reported to the sender.
	Incarnation, Tick uint64
	// Fingerprint distinguishes requests under one ticket or key.
	Fingerprint uint64
}

// Verdict is the decision on a Claim.
type Verdict uint8

// The verdicts.
const (
	// Start means that the attempt has been recorded and the caller must run it.
	Start Verdict = iota
	// Known means that a record already exists; this copy must not run.
	Known
	// Conflict means that the ticket or key was used with another request.
	Conflict
	// Stale means another incarnation, or a tick older than the window. This copy does
	// not run; other copies of a ticket or key may have run.
	Stale
	// Expired means a ticket past its window that never ran here and never will.
	Expired
	// RecordDropped means a ticket so old that its record would have been dropped.
	RecordDropped
	// NotHome means a key whose home is another target.
	NotHome
	// TooEarly means a key that may be older than the oldest record of this table.
	TooEarly
	// Unconfirmed means a key that arrives while the platform has not recently confirmed
	// that this process is the declared one for its VM.
	Unconfirmed
	// HandedOver means a key that arrives after the keys were sealed for a successor.
	HandedOver
	// Full means that there is no room for a record.
	Full
)

// Begin records an attempt if it may start. With TooEarly it returns how long the
// caller has to wait until the key is accepted.
func (t *Table) Begin(c Claim, now time.Duration) (v Verdict, wait time.Duration) {
	v, wait = t.Check(c, now)
	if v == Start {
		t.records[c.ID] = &record{
			state: wire.AttemptRunning, changed: now, fingerprint: c.Fingerprint, done: make(chan struct{}),
		}
	}
	return v, wait
}

// Check returns what Begin would, and records nothing.
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
	if age := now - time.Duration(c.Tick)*TickInterval; age > window(class) {
		return classifyOld(class, age), 0
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

// classifyOld returns the verdict for an old tick. The record of a ticket would be
// kept for its window and retention after the tick. Until then the absence of a record
// proves that no copy has run, and the old tick that none will.
func classifyOld(class Class, age time.Duration) Verdict {
	switch {
	case class != Ticket:
		return Stale
	case age <= TicketWindow+retention:
		return Expired
	}
	return RecordDropped
}

// Abort seals a running record whose request never reached the backend server: it was
// not run and never will be.
func (t *Table) Abort(id string, now time.Duration) {
	t.finish(id, wire.AttemptSealed, nil, now)
}

// Finish records a complete answer; a nil answer is one that can't be stored.
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

// Seal returns the outcome of an attempt. One that hasn't started is sealed, unless
// askOnly is set: from then on "not run" is true of every copy.
func (t *Table) Seal(c Claim, askOnly bool, now time.Duration) wire.AttemptState {
	t.sweep(now)
	class := ClassOf(c.ID)
	if c.Incarnation != t.incarnation && class != Exchange {
		return wire.AttemptOtherIncarnation
	}
	if r := t.records[c.ID]; r != nil {
		return r.state
	}
	if t.present[c.ID] > 0 && (askOnly || class == Exchange) {
		return wire.AttemptWaiting
	}
	if askOnly || class == Exchange || !t.absenceProves(c, now) || len(t.records) >= maxRecords {
		return wire.AttemptAbsent
	}
	r := &record{}
	t.records[c.ID] = r
	t.end(c.ID, r, wire.AttemptSealed, now)
	return wire.AttemptSealed
}

// absenceProves reports whether the absence of a record proves that no copy has run.
// An entry that was frozen may ask so late that the record has been dropped.
func (t *Table) absenceProves(c Claim, now time.Duration) bool {
	age := now - time.Duration(c.Tick)*TickInterval
	switch ClassOf(c.ID) {
	case Key:
		return age <= keyWindow && t.keys.accepts(c.ID, now)
	case Ticket:
		return age <= TicketWindow+retention
	}
	return age <= retention
}

// AddPresent records that a request without a record is at the guard.
func (t *Table) AddPresent(id string) { t.present[id]++ }

// RemovePresent reverts one AddPresent.
func (t *Table) RemovePresent(id string) {
	if t.present[id]--; t.present[id] <= 0 {
		delete(t.present, id)
	}
}

// Lookup returns the state of a record, its answer if it is stored, and a channel that
// is closed once the attempt has ended.
func (t *Table) Lookup(id string) (wire.AttemptState, *Answer, <-chan struct{}) {
	r := t.records[id]
	if r == nil {
		return wire.AttemptAbsent, nil, nil
	}
	return r.state, r.answer, r.done
}

// Len returns the number of records and the bytes of stored answers.
func (t *Table) Len() (records, stored int) { return len(t.records), t.stored }

// retentionOf returns how long a record of a class is kept after its last change.
func (t *Table) retentionOf(c Class) time.Duration {
	switch c {
	case Ticket:
		return TicketWindow + retention
	case Key:
		return t.keys.retention()
	}
	return retention
}
