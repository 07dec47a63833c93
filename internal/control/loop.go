// Package control runs the core. One goroutine owns the control state, ticks it and
// executes its commands; the results are passed back to it as events.
package control

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"github.com/limpetdock/limpetdock/internal/attempt"
	"github.com/limpetdock/limpetdock/internal/core"
	"github.com/limpetdock/limpetdock/internal/link"
	"github.com/limpetdock/limpetdock/internal/pick"
	"github.com/limpetdock/limpetdock/internal/platform"
	"github.com/limpetdock/limpetdock/internal/suspect"
	"github.com/limpetdock/limpetdock/internal/wire"
)

const (
	// tickInterval is the maximum time between two ticks of the core.
	tickInterval = 50 * time.Millisecond
	// eventBuffer is the maximum number of events queued for the next tick.
	eventBuffer = 1024
	// peerTimeout is the timeout of one exchange with a peer.
	peerTimeout = time.Second
	// documentStartTimeout is the time within which a reply that may be large must
	// begin.
	documentStartTimeout = 3 * time.Second
)

// Guard is the part of the node's guard that the loop uses.
type Guard interface {
	Tick() uint64
	SetLeaving(leaving bool)
	SetView(v *pick.View)
	Seal(m *wire.Seal) *wire.Sealed
	// AnswerProbe returns the reply to a peer's probe, or nil if the budget is exceeded.
	AnswerProbe(from string) *wire.Load
	// ConfirmListed reports the own VM's address in the platform's list, HandleMembers the
	// member updates received from a peer.
	ConfirmListed(addr string, at time.Duration)
	HandleMembers(updates []wire.Member)
	// HandoverSize, SealKeys, NeedsKeys and RestoreKeys transfer the key table from one
	// process of a VM to the next.
	HandoverSize() (bytes int, hold time.Duration, ok bool)
	SealKeys() (*attempt.KeyTable, bool)
	NeedsKeys() bool
	RestoreKeys(t *attempt.KeyTable) bool
}

// Entry is the part of the node's entry that the loop uses.
type Entry interface {
	SetView(v *pick.View)
	Beat()
}

// Loop owns the control state. It is safe for concurrent use.
type Loop struct {
	state    *core.State
	platform platform.Client
	peers    *link.Dialer
	guard    Guard
	entry    Entry
	log      logr.Logger
	now      func() time.Duration
	events   chan core.Event
	calls    chan func(*core.State)
	wg       sync.WaitGroup
	ctx      context.Context
	cancel   context.CancelFunc
	mu       sync.Mutex
	health   health
	counters atomic.Pointer[core.Counters]
	keys     KeyCounters
	// keysRequested is true once the predecessor's key table has been requested.
	keysRequested bool
}

// health is the last reported status of the backend server and the node. The next
// tick reads it.
type health struct {
	backend  core.BackendState
	stopping bool
}

// Config holds the dependencies of a Loop.
type Config struct {
	State    *core.State
	Platform platform.Client
	Peers    *link.Dialer
	Guard    Guard
	Entry    Entry
	Log      logr.Logger
	Now      func() time.Duration
}

// New returns a Loop. It is idle until Start is called.
func New(c Config) *Loop {
	ctx, cancel := context.WithCancel(context.Background())
	return &Loop{
		state: c.State, platform: c.Platform, peers: c.Peers, guard: c.Guard, entry: c.Entry,
		log: c.Log, now: c.Now, ctx: ctx, cancel: cancel,
		events: make(chan core.Event, eventBuffer), calls: make(chan func(*core.State)),
	}
}

// Start starts the control goroutine.
func (l *Loop) Start() { l.wg.Go(l.run) }

// Stop stops the control goroutine and all goroutines it started.
func (l *Loop) Stop() {
	l.cancel()
	l.wg.Wait()
}

// SetBackend sets the state of the backend server.
func (l *Loop) SetBackend(state core.BackendState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.health.backend = state
}

// SetStopping marks the node as stopping.
func (l *Loop) SetStopping() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.health.stopping = true
}

// isStopping reports whether the node is stopping. It covers a stop that began during
// a tick, so that the guard doesn't accept new work again until the next tick.
func (l *Loop) isStopping() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.health.stopping
}

// Behind reports that the node on a VM has another configuration in force. It never
// blocks: if the event queue is full the report is dropped, and the next request
// reports it again.
func (l *Loop) Behind(vm string) {
	select {
	case l.events <- core.ConfigMismatch{VM: vm}:
	default:
	}
}

// Counters returns the core's counters as of the last tick.
func (l *Loop) Counters() core.Counters {
	if c := l.counters.Load(); c != nil {
		return *c
	}
	return core.Counters{}
}

func (l *Loop) run() {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	var events []core.Event
	for {
		select {
		case <-l.ctx.Done():
			return
		case e := <-l.events:
			events = append(events, e)
		case call := <-l.calls:
			call(l.state)
			continue
		case <-ticker.C:
		}
		events = append(events, l.drain()...)
		events = append(events, l.backendStatus())
		for _, cmd := range l.state.Tick(core.Input{Now: l.now(), Events: events}) {
			l.do(cmd)
		}
		l.guard.SetLeaving(l.state.Leaving() || l.isStopping())
		counters := l.state.Counters()
		l.counters.Store(&counters)
		l.entry.Beat()
		if addr, at, ok := l.state.Listed(); ok {
			l.guard.ConfirmListed(addr, at)
		}
		if !l.keysRequested && l.guard.NeedsKeys() {
			l.keysRequested = true
			l.wg.Go(l.takeKeys)
		}
		events = events[:0]
	}
}

// Died reports a request that was in flight when a backend server died.
func (l *Loop) Died(fingerprint uint64, d suspect.Death) {
	l.submit(core.DeathObserved{Fingerprint: fingerprint, Death: d})
}

// Cleared reports a suspect request that completed.
func (l *Loop) Cleared(fingerprint uint64) { l.submit(core.SuspectCleared{Fingerprint: fingerprint}) }

// drain returns the queued events without waiting for more.
func (l *Loop) drain() []core.Event {
	var events []core.Event
	for {
		select {
		case e := <-l.events:
			events = append(events, e)
		default:
			return events
		}
	}
}

func (l *Loop) backendStatus() core.Event {
	l.mu.Lock()
	defer l.mu.Unlock()
	return core.BackendStatus{Tick: l.guard.Tick(), State: l.health.backend, Stopping: l.health.stopping}
}

// submit queues an event for the next tick.
func (l *Loop) submit(e core.Event) {
	select {
	case l.events <- e:
	case <-l.ctx.Done():
	}
}

// Ask runs f on the control goroutine and waits for it. It returns false, without
// running f, if the loop has ended.
func (l *Loop) Ask(f func(*core.State)) bool {
	done := make(chan struct{})
	select {
	case l.calls <- func(s *core.State) { f(s); close(done) }:
		<-done
		return true
	case <-l.ctx.Done():
		return false
	}
}

// Dump returns a copy of the control tables. ok is false if the loop has ended.
func (l *Loop) Dump() (d core.Dump, ok bool) {
	ok = l.Ask(func(s *core.State) { d = s.Dump(l.now()) })
	return d, ok
}

// do executes a command. Commands that wait for a peer or the platform run in their
// own goroutines; the core limits how many of each kind run at once.
func (l *Loop) do(cmd core.Command) {
	switch c := cmd.(type) {
	case core.Publish:
		l.guard.SetView(c.View)
		l.entry.SetView(c.View)
	case core.Log:
		l.log.Info(c.Message, c.Pairs...)
	case core.ReadIndex:
		l.wg.Go(func() { l.readIndex(c) })
	case core.WatchVMs:
		l.wg.Go(func() { l.watchVMs(c) })
	case core.FetchVMs:
		l.wg.Go(func() { l.fetchVMs(c) })
	case core.FetchDocument:
		l.wg.Go(func() { l.fetchDocument(c) })
	case core.FetchIndex:
		l.wg.Go(func() { l.fetchIndex(c) })
	case core.SendGossip:
		l.wg.Go(func() { l.gossip(c) })
	}
}
