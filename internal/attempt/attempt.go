// Package attempt is a guard's record of at-most-once attempts: which ones may
// start, which run, and the answers of those that are done. It is pure: time
// is an argument, and nothing waits.
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
	// keep is how long a record outlives its last change.
	keep = 2 * Window
	// TickEvery is the length of a guard's coarse tick.
	TickEvery = 250 * time.Millisecond
	// MaxAnswer is the largest answer that is kept, in bytes.
	MaxAnswer = 64 << 10
	// maxRecords bounds the table; when it is full no new attempt starts.
	maxRecords = 100_000
	// maxStored bounds the bytes of kept answers.
	maxStored = 32 << 20
)

// Answer is a whole answer of the backend server.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}

// Record is one attempt.
type record struct {
	state   wire.AttemptState
	changed time.Duration
	answer  *Answer
	done    chan struct{}
}

// Table is the record of one incarnation. It belongs to its caller's mutex.
type Table struct {
	incarnation uint64
	records     map[string]*record
	stored      int
	sweepAt     time.Duration
}

// NewTable returns the empty table of an incarnation.
func NewTable(incarnation uint64) *Table {
	return &Table{incarnation: incarnation, records: map[string]*record{}}
}

// Tick gives the guard's coarse tick at now.
func Tick(now time.Duration) uint64 { return uint64(now / TickEvery) }

// Verdict says what becomes of an attempt that asks to start.
type Verdict uint8

// The verdicts.
const (
	// Start means that the attempt has been recorded and its caller must run it.
	Start Verdict = iota
	// Stale means another incarnation, or a tick older than the window.
	Stale
	// Known means that a record exists already; this copy must not run.
	Known
	// Full means that there is no room for a record.
	Full
)

// Begin records an attempt, if it may start.
func (t *Table) Begin(id string, incarnation, tick uint64, now time.Duration) Verdict {
	t.sweep(now)
	if incarnation != t.incarnation || t.tooOld(tick, now) {
		return Stale
	}
	if t.records[id] != nil {
		return Known
	}
	if len(t.records) >= maxRecords {
		return Full
	}
	t.records[id] = &record{state: wire.AttemptRunning, changed: now, done: make(chan struct{})}
	return Start
}

func (t *Table) tooOld(tick uint64, now time.Duration) bool {
	return tick > Tick(now) || now-time.Duration(tick)*TickEvery > Window
}

// Abort turns a running record whose request never reached the backend server
// into a sealed one: it was not run and never will be.
func (t *Table) Abort(id string, now time.Duration) {
	t.finish(id, wire.AttemptSealed, nil, now)
}

// Finish records a whole answer; a nil answer is one that can't be kept.
func (t *Table) Finish(id string, a *Answer, now time.Duration) {
	if a == nil || len(a.Body) > MaxAnswer || t.stored+len(a.Body) > maxStored {
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
	r.state, r.answer, r.changed = state, a, now
	if a != nil {
		t.stored += len(a.Body)
	}
	close(r.done)
}

// Seal tells what became of an attempt; one that hasn't arrived is sealed,
// unless askOnly is set.
func (t *Table) Seal(id string, incarnation uint64, askOnly bool, now time.Duration) wire.AttemptState {
	t.sweep(now)
	if incarnation != t.incarnation {
		return wire.AttemptElsewhere
	}
	if r := t.records[id]; r != nil {
		return r.state
	}
	if askOnly || len(t.records) >= maxRecords {
		return wire.AttemptAbsent
	}
	r := &record{state: wire.AttemptSealed, changed: now, done: make(chan struct{})}
	close(r.done)
	t.records[id] = r
	return wire.AttemptSealed
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

const sweepEvery = time.Second

func (t *Table) sweep(now time.Duration) {
	if now < t.sweepAt {
		return
	}
	t.sweepAt = now + sweepEvery
	for id, r := range t.records {
		if r.state == wire.AttemptRunning || now-r.changed < keep {
			continue
		}
		if r.answer != nil {
			t.stored -= len(r.answer.Body)
		}
		delete(t.records, id)
	}
}
