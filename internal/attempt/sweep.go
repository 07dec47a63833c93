package attempt

import (
	"time"

	"github.com/limpetdock/limpetdock/internal/wire"
)

// sweepStep is how many records one call drops at most. A look through all
// records at a time would hold the guard's mutex for milliseconds, and every request of
// the node with it. Each call adds at most one record, so a few keep up.
const sweepStep = 16

// aging holds the records that have ended, the one that changed first in front.
// Records of one class are kept equally long, so none behind the first is due before it.
type aging struct{ first, last *record }

func (a *aging) add(r *record) {
	if a.last == nil {
		a.first, a.last = r, r
		return
	}
	a.last.next = r
	a.last = r
}

func (a *aging) drop() {
	a.first = a.first.next
	if a.first == nil {
		a.last = nil
	}
}

// ended notes a record that won't change any more, so that it is dropped in time.
func (t *Table) ended(id string, r *record) {
	r.id = id
	t.aging[ClassOf(id)].add(r)
}

// sweep drops a few records that are older than they must be kept. Those that are
// left for later calls only remember longer.
func (t *Table) sweep(now time.Duration) {
	left := sweepStep
	for class := range t.aging {
		a, keep := &t.aging[class], t.keepFor(Class(class))
		for a.first != nil && left > 0 && now-a.first.changed > keep {
			t.forget(a.first)
			a.drop()
			left--
		}
	}
}

// sweepAll drops all of them. It is for a process that stops.
func (t *Table) sweepAll(now time.Duration) {
	for before := -1; before != len(t.records); {
		before = len(t.records)
		t.sweep(now)
	}
}

func (t *Table) forget(r *record) {
	if r.answer != nil {
		t.stored -= r.answer.size()
	}
	delete(t.records, r.id)
}

// hasEnded is the channel of every record that has ended: one of its own would be
// a third of what a record takes.
var hasEnded = func() chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}()

// end is the last change of a record.
func (t *Table) end(id string, r *record, state wire.AttemptState, now time.Duration) {
	r.state, r.changed = state, now
	if r.done != nil {
		close(r.done)
	}
	r.done = hasEnded
	t.ended(id, r)
}
