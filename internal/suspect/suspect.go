// Package suspect keeps track of requests that may crash backend servers. When
// a backend server dies, the requests in flight on it become suspects. A suspect
// runs alone on its target. One that was alone when a second backend server died
// is blocked for a limited time. A completed run clears it.
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
	"math/rand/v2"
	"slices"
	"time"

	"github.com/limpetdock/limpetdock/internal/wire"
)

const (
	// BlockFor is how long a request is blocked at first, and how long a suspect that was never
	// blocked is remembered, both after its last death.
	BlockFor = 2 * time.Minute
	// firstDeaths is the number of deaths up to which a block lasts BlockFor. Each further one makes
	// it blockGrowth times as long, up to maxBlock.
	firstDeaths = 3
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
	// servedSuspectedAt is the number of deaths from which such a request runs alone.
	servedSuspectedAt = 2
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
}

// death is a Death with the time at which this node learnt of it.
type death struct {
	Death
	at time.Duration
}

type row struct {
	deaths  []death
	cleared []uint64
	// lastDeath is the time of the last death, which may be before the node's start.
	lastDeath time.Duration
}

// blockedUntil returns when the block ends, if the deaths known so far block the request.
func (r *row) blockedUntil() time.Duration { return r.lastDeath + blockTime(r.open()) }

// until returns when the row expires. A row that has been cleared is kept as long as it would be
// otherwise, or else a node that hasn't heard of it would bring the deaths back.
func (r *row) until() time.Duration {
	if judge(r.deaths) != Blocked {
		return r.lastDeath + BlockFor
	}
	return r.lastDeath + blockTime(len(r.deaths)) + trialMemory
}

// blockTime returns how long a request that was in flight at so many deaths is blocked after the
// last one.
func blockTime(deaths int) time.Duration {
	d := BlockFor
	for range deaths - firstDeaths {
		d = min(d*blockGrowth, maxBlock)
	}
	return d
}

// Table holds one node's rows by fingerprint.
type Table struct {
	rows   map[uint64]*row
	cursor uint64
	dirty  bool
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

func (t *Table) evict() {
	var oldest uint64
	at := time.Duration(math.MaxInt64)
	for f, r := range t.rows {
		if r.lastDeath < at || r.lastDeath == at && f < oldest {
			oldest, at = f, r.lastDeath
		}
	}
	delete(t.rows, oldest)
}

// add records a death and reports whether it changed the row.
func (r *row) add(d Death, now time.Duration) bool {
	for i := range r.deaths {
		if r.deaths[i].ID != d.ID {
			continue
		}
		known := &r.deaths[i]
		changed := d.Alone && !known.Alone || d.Served && !known.Served
		known.Alone = known.Alone || d.Alone
		known.Served = known.Served || d.Served
		return changed
	}
	if r.full() && !r.dropClearedDeath() {
		return false
	}
	r.deaths = append(r.deaths, death{d, now})
	return true
}

func (r *row) full() bool { return len(r.deaths) >= maxDeaths }

// knows reports whether the row has a death.
func (r *row) knows(id uint64) bool {
	return slices.ContainsFunc(r.deaths, func(d death) bool { return d.ID == id })
}

// dropClearedDeath makes room for a death by dropping the oldest one that is cleared. It returns false
// if none is.
func (r *row) dropClearedDeath() bool {
	i := slices.IndexFunc(r.deaths, func(d death) bool { return slices.Contains(r.cleared, d.ID) })
	if i < 0 {
		return false
	}
	id := r.deaths[i].ID
	r.deaths = slices.Delete(r.deaths, i, i+1)
	r.cleared = slices.DeleteFunc(r.cleared, func(c uint64) bool { return c == id })
	return true
}

// clear records that the request did not cause a death, which may not be known yet, and reports
// whether that changed the row.
func (r *row) clear(id uint64) bool {
	if slices.Contains(r.cleared, id) || len(r.cleared) >= maxDeaths && !r.dropUnknownCleared() {
		return false
	}
	r.cleared = append(r.cleared, id)
	return true
}

// dropUnknownCleared drops the oldest cleared death that the row doesn't have. It returns false if it
// has all of them.
func (r *row) dropUnknownCleared() bool {
	i := slices.IndexFunc(r.cleared, func(id uint64) bool { return !r.knows(id) })
	if i < 0 {
		return false
	}
	r.cleared = slices.Delete(r.cleared, i, i+1)
	return true
}

// level returns the level by the deaths that no completed run has cleared. A block may have ended.
func (r *row) level() Level { return judge(r.openDeaths()) }

// openDeaths returns the deaths that no completed run has cleared.
func (r *row) openDeaths() []death {
	return slices.DeleteFunc(slices.Clone(r.deaths), func(d death) bool { return slices.Contains(r.cleared, d.ID) })
}

func (r *row) open() int { return len(r.openDeaths()) }

// judge returns the level that follows from deaths.
func judge(deaths []death) Level {
	open, alone, unserved, unservedAlone := 0, 0, 0, 0
	var first, last time.Duration
	for _, d := range deaths {
		open++
		if d.Alone && alone == 0 {
			first, last = d.at, d.at
		}
		if d.Alone {
			alone++
			first, last = min(first, d.at), max(last, d.at)
		}
		if !d.Served {
			unserved++
		}
		if d.Alone && !d.Served {
			unservedAlone++
		}
	}
	switch {
	case open >= blockedAt && unservedAlone > 0, alone >= servedBlockedAt && last-first >= servedBlockAfter:
		return Blocked
	case unserved > 0, open >= servedSuspectedAt:
		return Suspected
	}
	return Unsuspected
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
		d := Death{ID: id, Alone: i < len(update.Alone) && update.Alone[i], Served: i < len(update.Served) && update.Served[i]}
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

// NextBatch returns up to limit rows to send to a peer. Successive calls cycle
// through all rows.
func (t *Table) NextBatch(limit int, now time.Duration) []wire.Suspect {
	if len(t.rows) == 0 {
		return nil
	}
	order := make([]uint64, 0, len(t.rows))
	for f := range t.rows {
		order = append(order, f)
	}
	slices.Sort(order)
	batch := make([]wire.Suspect, 0, min(limit, len(order)))
	for range min(limit, len(order)) {
		t.cursor++
		f := order[t.cursor%uint64(len(order))]
		batch = append(batch, t.rows[f].encode(f, now))
	}
	return batch
}

func (r *row) encode(fingerprint uint64, now time.Duration) wire.Suspect {
	s := wire.Suspect{
		Fingerprint: fingerprint, Cleared: slices.Clone(r.cleared),
		ExpiresMs: uint32(max(0, r.until()-now).Milliseconds()),
		SinceMs:   uint32(max(0, now-r.lastDeath).Milliseconds()),
	}
	for _, d := range r.deaths {
		s.Deaths = append(s.Deaths, d.ID)
		s.Alone = append(s.Alone, d.Alone)
		s.Served = append(s.Served, d.Served)
	}
	return s
}

// Set holds the suspects by fingerprint for traffic goroutines. It is immutable.
type Set map[uint64]Entry

// Entry is a row of a Set.
type Entry struct {
	Level Level
	// Until is the time since the node's start at which the block ends or the row expires.
	Until time.Duration
	// OnTrial is true for a suspect whose block has ended.
	OnTrial bool
}

// At returns the entry as it stands at a time since the node's start. Traffic goroutines call it, as
// a Set isn't renewed when a block ends.
func (e Entry) At(now time.Duration) Entry {
	switch {
	case now < e.Until:
		return e
	case e.Level == Blocked:
		return Entry{Level: Suspected, Until: e.Until, OnTrial: true}
	}
	return Entry{}
}

// TrialDelay is a node's delay between the end of a block and its first trial.
type TrialDelay time.Duration

// NewTrialDelay draws the delay of one node.
func NewTrialDelay() TrialDelay { return TrialDelay(rand.N(trialSpread)) }

// BlockedFor returns for how much longer a node refuses the request, or 0 if it may run.
func (d TrialDelay) BlockedFor(e Entry, now time.Duration) time.Duration {
	if e.Level != Blocked && !e.OnTrial {
		return 0
	}
	return max(e.Until+time.Duration(d)-now, 0)
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
