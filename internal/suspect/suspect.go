// Package suspect keeps track of requests that may crash backend servers. When
// a backend server dies, the requests in flight on it become suspects. A suspect
// runs alone on its target. One that was alone when a second backend server died
// is blocked for a limited time. A completed run clears it.
//
// An exchange that breaks off without a proof of a death counts less, and only if the backend server
// hardly breaks off any others (see Breaks).
//
// When a block has ended the request is on trial: it runs alone, on one target only. If that
// backend server dies too, the next block is longer.
//
// A Table reads no clock: time is an argument. It must be used by one goroutine
// only; the Sets it returns are immutable. Tables of different nodes are merged by
// gossip. Merging is commutative and idempotent, so order and repeats don't matter.
package suspect

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/limpetdock/limpetdock/internal/wire"
)

const (
	// BlockFor is how long a request is blocked at first, and how long a suspect that was never
	// blocked is remembered, both after its last death.
	BlockFor = 2 * time.Minute
	// blockGrowth is how many times as long each death on trial makes the block, up to maxBlock.
	blockGrowth = 10
	maxBlock    = 24 * time.Hour
	// trialMemory is how long a request is remembered after its block has ended.
	trialMemory = 24 * time.Hour
	// trialSpread is the longest random time by which a node delays its first trial, so that the nodes
	// don't try the request all at once.
	trialSpread = 30 * time.Second
	// maxRows bounds the table; when it is full, the row with the oldest last death is evicted.
	maxRows = 256
	// maxDeaths bounds the deaths kept for one row.
	maxDeaths = 8
	// blockedAt is the number of deaths, at least one of them alone, that block a request.
	blockedAt = 2
	// servedBlockedAt is the number of deaths alone that block a request which the backend servers
	// had answered shortly before, and servedBlockAfter the least time between the first and the last
	// of them. Servers that are killed in quick succession would otherwise block each popular
	// request: one is always running alone there.
	servedBlockedAt  = 3
	servedBlockAfter = time.Second
	// servedSuspectedAt is the number of deaths from which such a request runs alone, and one with
	// uncertain deaths only.
	servedSuspectedAt = 2
	// uncertainBlockedAt is the number of deaths, at least one of them alone, that block a request if some
	// of them are uncertain.
	uncertainBlockedAt = 3
)

// Level is how a request is treated.
type Level uint8

// The levels.
const (
	// Unsuspected requests run without restrictions.
	Unsuspected Level = iota
	// Suspected requests run alone on their target.
	Suspected
	// Blocked requests are refused without a run.
	Blocked
)

// String returns the name of the level.
func (l Level) String() string {
	switch l {
	case Suspected:
		return "suspected"
	case Blocked:
		return "blocked"
	}
	return "unsuspected"
}

// Death is one death of a backend server with a request in flight.
type Death struct {
	// ID identifies the death. It is the same for all requests that were in flight.
	ID uint64
	// Alone is true if the request was the only one running there.
	Alone bool
	// Served is true if the backend server had answered such a request shortly before.
	Served bool
	// Trial is true if the request was on trial.
	Trial bool
	// Uncertain is true if only the request's own exchange broke off, so that the backend server may
	// have gone on, or only one of its workers has died.
	Uncertain bool
}

// Table holds one node's rows by fingerprint.
type Table struct {
	rows map[uint64]*row
	// major and minor are the positions of NextBatch among the rows that are minor and those that aren't.
	major, minor uint64
	dirty        bool
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{rows: map[uint64]*row{}} }

// RecordDeath records that a request was in flight when a backend server died.
func (t *Table) RecordDeath(fingerprint uint64, d Death, now time.Duration) {
	r := t.row(fingerprint, now)
	if r.add(d, now) {
		r.lastDeath = now
		t.dirty = true
	}
}

// Clear records that a request with the fingerprint has completed, so that it did
// not cause the deaths known so far.
func (t *Table) Clear(fingerprint uint64) {
	r := t.rows[fingerprint]
	if r == nil {
		return
	}
	for _, d := range r.deaths {
		r.clear(d.ID)
	}
	t.dirty = true
}

func (t *Table) row(fingerprint uint64, now time.Duration) *row {
	if r := t.rows[fingerprint]; r != nil {
		return r
	}
	if len(t.rows) >= maxRows {
		t.evict()
	}
	r := &row{lastDeath: now}
	t.rows[fingerprint] = r
	return r
}

// evict deletes the oldest of the rows that restrict nothing, or else of all rows.
func (t *Table) evict() {
	var oldest uint64
	at, restricts := time.Duration(math.MaxInt64), true
	for f, r := range t.rows {
		restrictsToo := r.level() != Unsuspected
		older := r.lastDeath < at || r.lastDeath == at && f < oldest
		if restricts && !restrictsToo || restricts == restrictsToo && older {
			oldest, at, restricts = f, r.lastDeath, restrictsToo
		}
	}
	delete(t.rows, oldest)
}

// Restricts reports whether the deaths of a row restrict the request.
func (t *Table) Restricts(fingerprint uint64) bool {
	r := t.rows[fingerprint]
	return r != nil && r.level() != Unsuspected
}

// Minor reports whether a row has no more than uncertain deaths that restrict nothing, so that its news can
// wait.
func (t *Table) Minor(fingerprint uint64) bool {
	r := t.rows[fingerprint]
	if r == nil || len(r.cleared) > 0 || r.level() != Unsuspected {
		return false
	}
	return !slices.ContainsFunc(r.deaths, func(d death) bool { return !d.Uncertain })
}

// Expire deletes expired rows.
func (t *Table) Expire(now time.Duration) {
	for f, r := range t.rows {
		if now >= r.until() {
			delete(t.rows, f)
			t.dirty = true
		}
	}
}

// Merge applies an update from a peer and reports whether it contained any news. Only a new death
// extends a row's expiry, so that gossip alone can't keep rows alive.
func (t *Table) Merge(update wire.Suspect, now time.Duration) (changed bool) {
	if update.ExpiresMs == 0 {
		return false
	}
	lastDeath := now - time.Duration(update.SinceMs)*time.Millisecond
	known := t.rows[update.Fingerprint] != nil
	r := t.row(update.Fingerprint, now)
	if !known {
		r.lastDeath = lastDeath
	}
	for i, id := range update.Deaths {
		if r.full() && !r.knows(id) && slices.Contains(update.Cleared, id) {
			continue
		}
		d := Death{ID: id, Alone: at(update.Alone, i), Served: at(update.Served, i), Trial: at(update.Trial, i), Uncertain: at(update.Uncertain, i)}
		if r.add(d, now) {
			r.lastDeath = max(r.lastDeath, lastDeath)
			changed = true
		}
	}
	for _, id := range update.Cleared {
		if len(r.cleared) < maxDeaths || r.knows(id) {
			changed = r.clear(id) || changed
		}
	}
	t.dirty = t.dirty || changed
	return changed
}

// at returns element i of flags, which a node of an older version may have left out.
func at(flags []bool, i int) bool { return i < len(flags) && flags[i] }

// Len returns the number of rows.
func (t *Table) Len() int { return len(t.rows) }

// Rows returns the rows with the given fingerprints, in the order of these.
func (t *Table) Rows(fingerprints map[uint64]bool, now time.Duration) []wire.Suspect {
	var rows []wire.Suspect
	for _, f := range slices.Sorted(maps.Keys(fingerprints)) {
		if r := t.rows[f]; r != nil {
			rows = append(rows, r.encode(f, now))
		}
	}
	return rows
}

// minorShare divides a batch: one part in so many is kept for minor rows, at least one row.
const minorShare = 4

// NextBatch returns up to limit rows, of at least two, to send to a peer. Successive calls cycle through all rows, through
// minor ones more slowly, so that many of these don't hold up the others.
func (t *Table) NextBatch(limit int, now time.Duration) []wire.Suspect {
	var major, minor []uint64
	for _, f := range slices.Sorted(maps.Keys(t.rows)) {
		if t.Minor(f) {
			minor = append(minor, f)
		} else {
			major = append(major, f)
		}
	}
	limit = min(limit, len(t.rows))
	fromMinor := min(len(minor), max(limit/minorShare, 1, limit-len(major)))
	batch := make([]wire.Suspect, 0, limit)
	for _, f := range append(cycle(major, &t.major, limit-fromMinor), cycle(minor, &t.minor, fromMinor)...) {
		batch = append(batch, t.rows[f].encode(f, now))
	}
	return batch
}

// cycle returns the next n elements of a list from a position on, and moves the position there.
func cycle(list []uint64, position *uint64, n int) []uint64 {
	next := make([]uint64, 0, n)
	for range n {
		*position++
		next = append(next, list[*position%uint64(len(list))])
	}
	return next
}

// Changed returns a new Set if anything has changed since the last call.
func (t *Table) Changed() (Set, bool) {
	if !t.dirty {
		return nil, false
	}
	t.dirty = false
	set := Set{}
	for f, r := range t.rows {
		switch l := r.level(); l {
		case Blocked:
			set[f] = Entry{Level: l, Until: r.blockedUntil()}
		case Suspected:
			set[f] = Entry{Level: l, Until: r.until()}
		default:
			if r.hasOpenProof() {
				set[f] = Entry{Level: l, Until: r.until(), Open: true}
			}
		}
	}
	return set, true
}

// Dump returns all rows for state dumps, ordered by fingerprint.
func (t *Table) Dump(now time.Duration) []wire.Suspect {
	out := make([]wire.Suspect, 0, len(t.rows))
	for f, r := range t.rows {
		out = append(out, r.encode(f, now))
	}
	slices.SortFunc(out, func(a, b wire.Suspect) int {
		if a.Fingerprint < b.Fingerprint {
			return -1
		}
		return 1
	})
	return out
}
