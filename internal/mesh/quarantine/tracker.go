// Package quarantine keeps a node's table of the requests that were in flight when backend servers
// died (internal/suspect), and exchanges it with other nodes.
//
// The guard beside a dead backend server tells all nodes that send it requests. These pass the
// news on to a few others, and each node regularly sends a part of its table to random ones. So
// the news also reaches nodes that are not connected to that guard, or were not at that moment. A
// node that connects to another one receives the other's table.
package quarantine

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/limpetdock/limpetdock/internal/clock"
	"github.com/limpetdock/limpetdock/internal/suspect"
	"github.com/limpetdock/limpetdock/internal/wire"
)

const (
	// relayFanout is to how many other nodes a node passes on news that it has received.
	relayFanout = 4
	// repairInterval is the pause between two messages with a part of the table, repairRows the size
	// of that part, and repairFanout to how many nodes it is sent.
	repairInterval = 500 * time.Millisecond
	repairRows     = 8
	repairFanout   = 2
	// settledAge is the time since the last change of the table from which parts of it are sent only
	// every settledInterval.
	settledAge      = 2 * time.Minute
	settledInterval = 30 * time.Second
	// initialRows bounds the rows that a node receives when it connects. The others follow in the
	// regular messages.
	initialRows = 64
)

// Row is the encoding of one row of the table.
type Row = wire.Suspect

// Everyone is the fanout of a message to all connected nodes.
const Everyone = 0

// Sender sends rows to nodes that are connected to this one: to as many random ones as fanout
// says, or to Everyone.
type Sender interface {
	SendSuspects(rows []Row, fanout int)
}

// Tracker is the table of one node. Safe for concurrent use.
type Tracker struct {
	now  clock.Clock
	set  atomic.Pointer[suspect.Set]
	wake chan struct{}

	mu    sync.Mutex
	table *suspect.Table
	// observed and received are the fingerprints of rows that changed since they were last sent:
	// by what the node's own guard saw, and by news of other nodes.
	observed, received map[uint64]bool
	// changedAt is when the table last changed, and repairedAt when a part of it was last sent.
	changedAt, repairedAt time.Duration
}

// New returns a Tracker with an empty table.
func New(now clock.Clock) *Tracker {
	return &Tracker{
		now: now, wake: make(chan struct{}, 1), table: suspect.NewTable(),
		observed: map[uint64]bool{}, received: map[uint64]bool{},
	}
}

// Check returns how a request is to be treated. fingerprint is called only if there are any
// suspects, as it reads the whole request.
func (t *Tracker) Check(fingerprint func() uint64) suspect.Entry {
	set := t.set.Load()
	if set == nil || len(*set) == 0 {
		return suspect.Entry{}
	}
	return (*set)[fingerprint()].At(t.now())
}

// Died records that a request was in flight when the backend server died.
func (t *Tracker) Died(fingerprint uint64, d suspect.Death) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.table.RecordDeath(fingerprint, d, t.now())
	t.announce(t.observed, fingerprint)
	t.publish()
}

// Completed records that a request was answered, so that it did not cause the known deaths. Where these
// restrict nothing, that spreads by the regular messages only.
func (t *Tracker) Completed(fingerprint uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.table.Restricts(fingerprint) {
		t.observed[fingerprint] = true
	}
	t.table.Clear(fingerprint)
	t.publish()
}

// Merge applies rows of another node.
func (t *Tracker) Merge(rows []Row) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	for _, row := range rows {
		if t.table.Merge(row, now) {
			t.announce(t.received, row.Fingerprint)
		}
	}
	t.publish()
}

// announce marks a row as news. Uncertain deaths that restrict nothing are too frequent for that: they
// spread by the regular messages only. The mutex must be held.
func (t *Tracker) announce(news map[uint64]bool, fingerprint uint64) {
	if !t.table.Minor(fingerprint) {
		news[fingerprint] = true
	}
}

// publish makes the table's changes visible to Check and wakes Run. The mutex must be held.
func (t *Tracker) publish() {
	set, changed := t.table.Changed()
	if !changed {
		return
	}
	t.set.Store(&set)
	t.changedAt = t.now()
	select {
	case t.wake <- struct{}{}:
	default:
	}
}

// Initial returns rows for a node that has just connected.
func (t *Tracker) Initial() []Row {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.table.NextBatch(initialRows, t.now())
}

// Dump returns all rows.
func (t *Tracker) Dump() []Row {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.table.Dump(t.now())
}

// Len returns the number of rows.
func (t *Tracker) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.table.Len()
}

// Run sends news and deletes expired rows until ctx ends. It sleeps while the table is empty.
func (t *Tracker) Run(ctx context.Context, s Sender) {
	for {
		select {
		case <-t.wake:
		case <-ctx.Done():
			return
		}
		t.runWhileFilled(ctx, s)
	}
}

// runWhileFilled sends news until the table is empty or ctx ends.
func (t *Tracker) runWhileFilled(ctx context.Context, s Sender) {
	timer := time.NewTimer(repairInterval)
	defer timer.Stop()
	for t.sendNews(s) {
		timer.Reset(t.untilRepair())
		select {
		case <-t.wake:
		case <-timer.C:
			t.repair(s)
		case <-ctx.Done():
			return
		}
	}
}

// sendNews sends the rows that changed, and reports whether the table has any rows.
func (t *Tracker) sendNews(s Sender) bool {
	t.mu.Lock()
	now := t.now()
	observed, received := t.table.Rows(t.observed, now), t.table.Rows(t.received, now)
	clear(t.observed)
	clear(t.received)
	filled := t.table.Len() > 0
	t.mu.Unlock()
	if len(observed) > 0 {
		s.SendSuspects(observed, Everyone)
	}
	if len(received) > 0 {
		s.SendSuspects(received, relayFanout)
	}
	return filled
}

// untilRepair returns the time until the next repair.
func (t *Tracker) untilRepair() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	now, interval := t.now(), repairInterval
	if now-t.changedAt >= settledAge {
		interval = settledInterval
	}
	return max(t.repairedAt+interval-now, 0)
}

// repair deletes expired rows and sends a part of the others to repairFanout nodes.
func (t *Tracker) repair(s Sender) {
	t.mu.Lock()
	t.repairedAt = t.now()
	t.table.Expire(t.repairedAt)
	t.publish()
	rows := t.table.NextBatch(repairRows, t.repairedAt)
	t.mu.Unlock()
	if len(rows) > 0 {
		s.SendSuspects(rows, repairFanout)
	}
}
