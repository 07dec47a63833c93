package attempt

import (
	"time"

	"github.com/limpetdock/limpetdock/internal/wire"
)

// sweepLimit is the most records that one call drops. A scan of all records would hold
// the guard's mutex for milliseconds and block every request of the node. Each call
// adds at most one record, so dropping a few per call is enough.
const sweepLimit = 16

// aging is a list of the records that have ended, ordered by their last change.
// Records of one class are kept equally long, so the first one is due first.
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

// ended adds a record that won't change any more to the list for dropping.
func (t *Table) ended(id string, r *record) {
	r.id = id
	t.aging[ClassOf(id)].add(r)
}

// sweep drops a few expired records. Keeping the others until later calls is safe.
func (t *Table) sweep(now time.Duration) {
	remaining := sweepLimit
	for class := range t.aging {
		a, keep := &t.aging[class], t.retentionOf(Class(class))
		for a.first != nil && remaining > 0 && now-a.first.changed > keep {
			t.forget(a.first)
			a.drop()
			remaining--
		}
	}
}

// sweepAll drops all expired records. It is for a stopping process.
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

// closedChannel is shared by all records that have ended: a channel for each would be
// a third of a record's memory.
var closedChannel = func() chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}()

// end makes the last change of a record.
func (t *Table) end(id string, r *record, state wire.AttemptState, now time.Duration) {
	r.state, r.changed = state, now
	if r.done != nil {
		close(r.done)
	}
	r.done = closedChannel
	t.ended(id, r)
}
