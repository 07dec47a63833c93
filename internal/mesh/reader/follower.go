package reader

import (
	"context"
	"math"
	"time"

	"github.com/limpetdock/limpetdock/internal/clock"
	"github.com/limpetdock/limpetdock/internal/decision"
	"github.com/limpetdock/limpetdock/internal/mesh"
	"github.com/limpetdock/limpetdock/internal/mesh/peer"
)

const (
	// peerAskDelay is the wait before a node of another zone is asked for an update, and
	// before a reader acts on any report. Usually a node of the local zone or the node's own watch
	// delivers the update in that time, and traffic between zones is billed.
	peerAskDelay = 150 * time.Millisecond
	// answerTimeout bounds the wait for an answer before the update is requested
	// elsewhere: many round trips between regions.
	answerTimeout = 250 * time.Millisecond
)

// AnyRevision is newer than every revision of the store.
const AnyRevision = math.MaxUint64

// Store is a node's copy of the platform's store. Safe for concurrent use.
type Store interface {
	// Revision returns the revision up to which the copy is complete; 0 if it is empty.
	Revision() uint64
	// Reading reports whether the node reads the store itself and the store answers.
	Reading() bool
	// Refresh reads the store at once, unless the given revision is already known.
	Refresh(revision uint64)
	// Snapshot returns what changed after a revision, encoded for Restore on another
	// node. It is empty if it would exceed most bytes; 0 means no limit.
	Snapshot(after uint64, most int) []byte
	// Restore applies a snapshot of another node.
	Restore(ctx context.Context, snapshot []byte) error
}

// Asker requests state updates from other nodes.
type Asker interface {
	// Warm opens a connection to a node if none is open.
	Warm(ctx context.Context, addr string) error
	// Ask sends a query to a node to which a connection is open.
	Ask(addr string, q peer.StateQuery) error
}

// Follower keeps a node's copy of the store up to date with what other nodes report.
type Follower struct {
	table   *Table
	store   Store
	asker   Asker
	log     *decision.Log
	updates chan update
	// answered is signalled after each answer.
	answered chan struct{}
	lag      lagTracker
}

// update is another node's report that it has a revision.
type update struct {
	addr     string
	revision uint64
}

// NewFollower returns a Follower. It does nothing before Run.
func NewFollower(t *Table, s Store, a Asker, log *decision.Log) *Follower {
	return &Follower{table: t, store: s, asker: a, log: log, updates: make(chan update, 1), answered: make(chan struct{}, 1)}
}

// HandleReport handles the store revision and reading state in a load report. It never
// blocks: while one update is being fetched, further ones are dropped, and the next report
// announces them again.
func (f *Follower) HandleReport(addr string, l mesh.Load) {
	f.table.RecordReport(addr, l.ReadsStore)
	known := f.store.Revision()
	if known == 0 || l.Revision <= known {
		return
	}
	f.lag.reported(l.Revision, known, f.table.now())
	select {
	case f.updates <- update{addr, l.Revision}:
	default:
	}
}

// Lag returns how long the node has known of a revision newer than its own; 0 if there is
// none.
func (f *Follower) Lag() time.Duration {
	return f.lag.duration(f.store.Revision(), f.table.now())
}

// Run fetches reported updates until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	for {
		select {
		case u := <-f.updates:
			f.catchUp(ctx, u)
		case <-ctx.Done():
			return
		}
	}
}

// catchUp gets an update from the node that reported it, or from the store. A reader usually
// receives the update from its watch. If it doesn't, the store has lost the watch, and the
// reader asks the store first, because the other node may not have everything it missed.
func (f *Follower) catchUp(ctx context.Context, u update) {
	reading := f.store.Reading()
	if reading || !f.table.sameZone(u.addr) {
		clock.Sleep(ctx, peerAskDelay)
	}
	steps := []func(update){f.askPeer, f.refreshFromStore}
	if reading {
		steps = []func(update){f.refreshFromStore, f.askPeer}
	}
	for _, step := range steps {
		if f.store.Revision() >= u.revision || ctx.Err() != nil {
			return
		}
		step(u)
		f.awaitRevision(ctx, u.revision)
	}
}

func (f *Follower) askPeer(u update) {
	f.clearAnswered()
	q := peer.StateQuery{After: f.store.Revision()}
	if err := f.asker.Ask(u.addr, q); err != nil {
		f.log.Event("cannot ask another node for its update", "node", u.addr, "error", err.Error())
	}
}

// clearAnswered discards the signal of a late answer to an earlier query.
func (f *Follower) clearAnswered() {
	select {
	case <-f.answered:
	default:
	}
}

func (f *Follower) refreshFromStore(u update) {
	f.log.Event("another node has newer news, asking the store", "node", u.addr, "revision", u.revision, "known", f.store.Revision())
	f.store.Refresh(u.revision)
}

// revisionPollInterval is the pause between checks whether the revision has arrived.
const revisionPollInterval = 25 * time.Millisecond

// awaitRevision waits until a revision is known, an answer arrives or answerTimeout elapses.
func (f *Follower) awaitRevision(ctx context.Context, revision uint64) {
	ctx, cancel := context.WithTimeout(ctx, answerTimeout)
	defer cancel()
	poll := time.NewTicker(revisionPollInterval)
	defer poll.Stop()
	for f.store.Revision() < revision {
		select {
		case <-poll.C:
		case <-f.answered:
			return
		case <-ctx.Done():
			return
		}
	}
}

// maxUpdateBytes bounds the answer to one follower, in bytes. A follower reads larger updates
// from the store, such as a configuration that shares little with the previous one: a reader
// serves its whole zone, and the links of VMs are slow.
const maxUpdateBytes = 64 << 10

// UpdateHandler returns the handler that answers state queries of other nodes and applies
// their answers.
func (f *Follower) UpdateHandler(ctx context.Context) peer.StateSync {
	return peer.StateSync{
		Answer: func(q peer.StateQuery) []byte {
			if q.Whole {
				return f.store.Snapshot(0, 0)
			}
			return f.store.Snapshot(q.After, maxUpdateBytes)
		},
		Apply: func(answer []byte) { f.handleAnswer(ctx, answer) },
	}
}

func (f *Follower) handleAnswer(ctx context.Context, answer []byte) {
	if len(answer) > 0 {
		if err := f.store.Restore(ctx, answer); err != nil {
			f.log.Warn("another node's news can't be used", "error", err.Error())
		}
	}
	select {
	case f.answered <- struct{}{}:
	default:
	}
}
