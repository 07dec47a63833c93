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
	// newsDelay is the wait before a node of another zone is asked for its news:
	// those of the own zone, or the own watch, mostly have them by then, and bytes
	// between zones are paid for.
	newsDelay = 150 * time.Millisecond
	// answerWithin is how long an answer may take before the news are looked for
	// elsewhere: many round trips between regions.
	answerWithin = 250 * time.Millisecond
)

// AnyRevision is newer than any of the store's.
const AnyRevision = math.MaxUint64

// Store is a node's own reading of the platform's store. Safe for concurrent use.
type Store interface {
	// Revision is up to which everything is known; 0 is nothing yet.
	Revision() uint64
	// Reading says that the node reads the store, and that it answers.
	Reading() bool
	// Refresh asks the store at once, unless everything up to a revision is known.
	Refresh(revision uint64)
	// Snapshot gives what is known after a revision for Restore at another node;
	// empty if that is more than the bytes given. 0 of these is no bound.
	Snapshot(after uint64, most int) []byte
	// Restore takes what another node knows.
	Restore(ctx context.Context, snapshot []byte) error
}

// Asker asks other nodes for news.
type Asker interface {
	// Warm opens the connection to a node, if none is open.
	Warm(ctx context.Context, addr string) error
	// Ask asks a node to which a connection is open.
	Ask(addr string, q peer.Question) error
}

// Follower gets a node the news of the store that others have.
type Follower struct {
	table *Table
	store Store
	asker Asker
	log   *decision.Log
	news  chan news
	// answered is told after each answer.
	answered chan struct{}
	behind   behind
}

// news is a node's word that it has seen a revision.
type news struct {
	addr     string
	revision uint64
}

// NewFollower returns a Follower; it does nothing before Run.
func NewFollower(t *Table, s Store, a Asker, log *decision.Log) *Follower {
	return &Follower{table: t, store: s, asker: a, log: log, news: make(chan news, 1), answered: make(chan struct{}, 1)}
}

// Heard takes what a node says of the store. It never blocks: while one piece of
// news is looked after, others are left out, and the next report brings them again.
func (f *Follower) Heard(addr string, l mesh.Load) {
	f.table.Heard(addr, l.Reading)
	known := f.store.Revision()
	if known == 0 || l.Revision <= known {
		return
	}
	f.behind.heard(l.Revision, known, f.table.now())
	select {
	case f.news <- news{addr, l.Revision}:
	default:
	}
}

// Behind gives how long the node has known of a newer revision than its own; 0 if it
// knows of none.
func (f *Follower) Behind() time.Duration {
	return f.behind.lasting(f.store.Revision(), f.table.now())
}

// Run looks after news until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	for {
		select {
		case n := <-f.news:
			f.catchUp(ctx, n)
		case <-ctx.Done():
			return
		}
	}
}

// catchUp gets news from the node that told of them, or from the store. A node that
// reads mostly has them from its watch; if not, its watch has been forgotten, and it
// asks the store first, as the other may not be all there is to find out.
func (f *Follower) catchUp(ctx context.Context, n news) {
	reading := f.store.Reading()
	if reading || !f.table.sameZone(n.addr) {
		clock.Sleep(ctx, newsDelay)
	}
	ways := []func(news){f.ask, f.refresh}
	if reading {
		ways = []func(news){f.refresh, f.ask}
	}
	for _, way := range ways {
		if f.store.Revision() >= n.revision || ctx.Err() != nil {
			return
		}
		way(n)
		f.await(ctx, n.revision)
	}
}

func (f *Follower) ask(n news) {
	f.dropAnswered()
	q := peer.Question{After: f.store.Revision()}
	if err := f.asker.Ask(n.addr, q); err != nil {
		f.log.Change("another node's news can't be asked for", "node", n.addr, "error", err.Error())
	}
}

// dropAnswered forgets an answer that came too late for the question before.
func (f *Follower) dropAnswered() {
	select {
	case <-f.answered:
	default:
	}
}

func (f *Follower) refresh(n news) {
	f.log.Change("another node has newer news, asking the store", "node", n.addr, "revision", n.revision, "known", f.store.Revision())
	f.store.Refresh(n.revision)
}

// recheck is the pause between looks whether the news have come.
const recheck = 25 * time.Millisecond

// await waits until a revision is known, an answer without it has come, or time is up.
func (f *Follower) await(ctx context.Context, revision uint64) {
	ctx, cancel := context.WithTimeout(ctx, answerWithin)
	defer cancel()
	look := time.NewTicker(recheck)
	defer look.Stop()
	for f.store.Revision() < revision {
		select {
		case <-look.C:
		case <-f.answered:
			return
		case <-ctx.Done():
			return
		}
	}
}

// maxNews bounds what a node tells of the store to one that follows, in bytes. More, as
// after a configuration that has little in common with the one before, it reads from the
// store: a reader has a whole zone to tell, and the links of VMs are slow.
const maxNews = 64 << 10

// News gives what answers other nodes' questions and takes their answers.
func (f *Follower) News(ctx context.Context) peer.News {
	return peer.News{
		Give: func(q peer.Question) []byte {
			if q.Whole {
				return f.store.Snapshot(0, 0)
			}
			return f.store.Snapshot(q.After, maxNews)
		},
		Take: func(answer []byte) { f.take(ctx, answer) },
	}
}

func (f *Follower) take(ctx context.Context, answer []byte) {
	if len(answer) > 0 {
		if err := f.store.Restore(ctx, answer); err != nil {
			f.log.Trouble("another node's news can't be used", "error", err.Error())
		}
	}
	select {
	case f.answered <- struct{}{}:
	default:
	}
}
