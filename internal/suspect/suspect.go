// Package suspect keeps track of requests that may crash backend servers. When
// a backend server dies, the requests in flight on it are suspects; a suspect
// runs alone on its target, and one that was alone when a second backend server
// died is blocked for a while. A completed run clears it.
//
// A Table is pure: time is an argument, and it belongs to one goroutine. The
// Sets it gives out are immutable. Tables of different nodes are merged by
// gossip; merging is commutative and idempotent, so order and repeats don't matter.
package suspect

import (
	"slices"
	"time"

	"github.com/limpetdock/limpetdock/internal/wire"
)

const (
	// BlockFor is how long a suspect is remembered after its last death.
	BlockFor = 2 * time.Minute
	// maxRows bounds the table; the row that would expire first makes room.
	maxRows = 256
	// maxDeaths bounds the deaths kept for one row; more change nothing.
	maxDeaths = 8
	// blockedAt deaths, one of them alone, block a request.
	blockedAt = 2
)

// Level is how a request is to be treated.
type Level uint8

// The levels.
const (
	// Innocent requests run like any other.
	Innocent Level = iota
	// Suspected requests run alone on their target.
	Suspected
	// Blocked requests are answered without a run.
	Blocked
)

// Death is one end of a backend server with a request in flight.
type Death struct {
	// ID names the death: the same for all requests that were in flight.
	ID uint64
	// Alone says that the request was the only one running there.
	Alone bool
}

type row struct {
	deaths  []Death
	cleared []uint64
	until   time.Duration
}

// Table is one node's rows by fingerprint.
type Table struct {
	rows  map[uint64]*row
	turn  uint64
	dirty bool
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{rows: map[uint64]*row{}} }

// Died notes that a request was in flight when a backend server died.
func (t *Table) Died(fingerprint uint64, d Death, now time.Duration) {
	r := t.row(fingerprint, now)
	if r.add(d) {
		r.until = now + BlockFor
		t.dirty = true
	}
}

// Clear notes that a request like it has run to its end: the deaths known so
// far weren't its doing.
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
	r := &row{until: now + BlockFor}
	t.rows[fingerprint] = r
	return r
}

func (t *Table) evict() {
	var first uint64
	var at time.Duration = -1
	for f, r := range t.rows {
		if at < 0 || r.until < at || r.until == at && f < first {
			first, at = f, r.until
		}
	}
	delete(t.rows, first)
}

// add keeps a death; it returns false if it was known in this form.
func (r *row) add(d Death) bool {
	for i := range r.deaths {
		if r.deaths[i].ID != d.ID {
			continue
		}
		news := d.Alone && !r.deaths[i].Alone
		r.deaths[i].Alone = r.deaths[i].Alone || d.Alone
		return news
	}
	if len(r.deaths) >= maxDeaths {
		return false
	}
	r.deaths = append(r.deaths, d)
	return true
}

func (r *row) clear(id uint64) bool {
	if slices.Contains(r.cleared, id) || len(r.cleared) >= maxDeaths {
		return false
	}
	r.cleared = append(r.cleared, id)
	return true
}

// level counts the deaths that no completed run has cleared.
func (r *row) level() Level {
	open, alone := 0, false
	for _, d := range r.deaths {
		if slices.Contains(r.cleared, d.ID) {
			continue
		}
		open++
		alone = alone || d.Alone
	}
	switch {
	case open >= blockedAt && alone:
		return Blocked
	case open > 0:
		return Suspected
	}
	return Innocent
}

// Expire drops rows whose time has come.
func (t *Table) Expire(now time.Duration) {
	for f, r := range t.rows {
		if now >= r.until {
			delete(t.rows, f)
			t.dirty = true
		}
	}
}

// Merge takes news of a peer. Only a death that is news sets a row's end, so
// that rows can't keep each other alive by being told around.
func (t *Table) Merge(news wire.Suspect, now time.Duration) {
	left := min(time.Duration(news.ExpiresMs)*time.Millisecond, BlockFor)
	if left <= 0 {
		return
	}
	known := t.rows[news.Fingerprint] != nil
	r := t.row(news.Fingerprint, now)
	if !known {
		r.until = now + left
	}
	for i, id := range news.Deaths {
		alone := i < len(news.Alone) && news.Alone[i]
		if r.add(Death{ID: id, Alone: alone}) {
			r.until = max(r.until, now+left)
			t.dirty = true
		}
	}
	for _, id := range news.Cleared {
		if r.clear(id) {
			t.dirty = true
		}
	}
}

// News gives up to limit rows to tell a peer, others each time.
func (t *Table) News(limit int, now time.Duration) []wire.Suspect {
	if len(t.rows) == 0 {
		return nil
	}
	order := make([]uint64, 0, len(t.rows))
	for f := range t.rows {
		order = append(order, f)
	}
	slices.Sort(order)
	news := make([]wire.Suspect, 0, min(limit, len(order)))
	for range min(limit, len(order)) {
		t.turn++
		f := order[t.turn%uint64(len(order))]
		news = append(news, t.rows[f].news(f, now))
	}
	return news
}

func (r *row) news(fingerprint uint64, now time.Duration) wire.Suspect {
	s := wire.Suspect{
		Fingerprint: fingerprint, Cleared: slices.Clone(r.cleared),
		ExpiresMs: uint32(max(0, r.until-now).Milliseconds()),
	}
	for _, d := range r.deaths {
		s.Deaths = append(s.Deaths, d.ID)
		s.Alone = append(s.Alone, d.Alone)
	}
	return s
}

// Set is what traffic goroutines know of suspects. It is immutable.
type Set map[uint64]Entry

// Entry is a row of a Set.
type Entry struct {
	Level Level
	// Until is the time since the node's start at which the row is forgotten.
	Until time.Duration
}

// Changed gives a new Set if anything has changed since the last call.
func (t *Table) Changed() (Set, bool) {
	if !t.dirty {
		return nil, false
	}
	t.dirty = false
	set := Set{}
	for f, r := range t.rows {
		if l := r.level(); l != Innocent {
			set[f] = Entry{Level: l, Until: r.until}
		}
	}
	return set, true
}

// Dump gives the rows for people to read.
func (t *Table) Dump(now time.Duration) []wire.Suspect {
	out := make([]wire.Suspect, 0, len(t.rows))
	for f, r := range t.rows {
		out = append(out, r.news(f, now))
	}
	slices.SortFunc(out, func(a, b wire.Suspect) int {
		if a.Fingerprint < b.Fingerprint {
			return -1
		}
		return 1
	})
	return out
}
