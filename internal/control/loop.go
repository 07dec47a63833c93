// Package control runs the core: one goroutine owns the control state, ticks
// it, and has its commands carried out. Results come back as events.
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
	// tickEvery is the longest time between two ticks of the core.
	tickEvery = 50 * time.Millisecond
	// eventRoom bounds the events that wait for the next tick.
	eventRoom = 1024
	// peerTimeout bounds one exchange with a peer.
	peerTimeout = time.Second
	// documentBegins is how long a peer may take to begin an answer that may be large.
	documentBegins = 3 * time.Second
)

// Guard is what the loop needs of the node's guard.
type Guard interface {
	Tick() uint64
	SetLeaving(leaving bool)
	SetView(v *pick.View)
	Seal(m *wire.Seal) *wire.Sealed
	// Probed answers a probe of a peer, or gives nil if that is over budget.
	Probed(from string) *wire.Load
	// Listed and Heard tell what the platform and peers say of the own VM.
	Listed(addr string, at time.Duration)
	Heard(news []wire.Member)
	// KeysToHand, SealKeys, WantsKeys and TakeKeys hand the key table from one
	// process of a VM to the next.
	KeysToHand() (bytes int, hold time.Duration, ok bool)
	SealKeys() (*attempt.KeyTable, bool)
	WantsKeys() bool
	TakeKeys(t *attempt.KeyTable) bool
}

// Entry is what the loop needs of the node's entry.
type Entry interface {
	SetView(v *pick.View)
	Beat()
}

// Loop owns the control state. Its methods are safe for concurrent use.
type Loop struct {
	state    *core.State
	platform platform.Client
	peers    *link.Dialer
	guard    Guard
	entry    Entry
	log      logr.Logger
	now      func() time.Duration
	events   chan core.Event
	asks     chan func(*core.State)
	wg       sync.WaitGroup
	ctx      context.Context
	cancel   context.CancelFunc
	mu       sync.Mutex
	health   health
	counters atomic.Pointer[core.Counters]
	keys     KeyCounters
	// asked says that the predecessor's key table has been asked for.
	asked bool
}

// health is what the guard's side last saw, until the next tick takes it.
type health struct {
	backend  core.BackendState
	stopping bool
}

// Config is what a Loop is made of.
type Config struct {
	State    *core.State
	Platform platform.Client
	Peers    *link.Dialer
	Guard    Guard
	Entry    Entry
	Log      logr.Logger
	Now      func() time.Duration
}

// New returns a Loop that does nothing until Start.
func New(c Config) *Loop {
	ctx, cancel := context.WithCancel(context.Background())
	return &Loop{
		state: c.State, platform: c.Platform, peers: c.Peers, guard: c.Guard, entry: c.Entry,
		log: c.Log, now: c.Now, ctx: ctx, cancel: cancel,
		events: make(chan core.Event, eventRoom), asks: make(chan func(*core.State)),
	}
}

// Start starts the control goroutine.
func (l *Loop) Start() { l.wg.Go(l.run) }

// Stop ends the control goroutine and all it started.
func (l *Loop) Stop() {
	l.cancel()
	l.wg.Wait()
}

// SetBackend tells how the backend server is.
func (l *Loop) SetBackend(state core.BackendState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.health.backend = state
}

// SetStopping tells that the node is stopping.
func (l *Loop) SetStopping() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.health.stopping = true
}

// isStopping covers a stop that began while a tick was under way: the guard
// must not take new work again for the length of one tick.
func (l *Loop) isStopping() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.health.stopping
}

// Behind tells that the node on a VM has another configuration in force. It
// never waits: when there is no room the next request tells it again.
func (l *Loop) Behind(vm string) {
	select {
	case l.events <- core.Behind{VM: vm}:
	default:
	}
}

// Counters gives the core's counters as of the last tick.
func (l *Loop) Counters() core.Counters {
	if c := l.counters.Load(); c != nil {
		return *c
	}
	return core.Counters{}
}

func (l *Loop) run() {
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	var events []core.Event
	for {
		select {
		case <-l.ctx.Done():
			return
		case e := <-l.events:
			events = append(events, e)
		case ask := <-l.asks:
			ask(l.state)
			continue
		case <-ticker.C:
		}
		events = append(events, l.drain()...)
		events = append(events, l.backendSeen())
		for _, cmd := range l.state.Tick(core.Input{Now: l.now(), Events: events}) {
			l.do(cmd)
		}
		l.guard.SetLeaving(l.state.Leaving() || l.isStopping())
		counters := l.state.Counters()
		l.counters.Store(&counters)
		l.entry.Beat()
		if addr, at, ok := l.state.Listed(); ok {
			l.guard.Listed(addr, at)
		}
		if !l.asked && l.guard.WantsKeys() {
			l.asked = true
			l.wg.Go(l.takeKeys)
		}
		events = events[:0]
	}
}

// Died reports a request that was in flight when a backend server died.
func (l *Loop) Died(fingerprint uint64, d suspect.Death) {
	l.submit(core.SuspectDied{Fingerprint: fingerprint, Death: d})
}

// Cleared reports a suspect that has run to its end.
func (l *Loop) Cleared(fingerprint uint64) { l.submit(core.SuspectCleared{Fingerprint: fingerprint}) }

// drain takes the events that wait, without waiting for more.
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

func (l *Loop) backendSeen() core.Event {
	l.mu.Lock()
	defer l.mu.Unlock()
	return core.BackendSeen{Tick: l.guard.Tick(), State: l.health.backend, Stopping: l.health.stopping}
}

// submit hands an event to the next tick.
func (l *Loop) submit(e core.Event) {
	select {
	case l.events <- e:
	case <-l.ctx.Done():
	}
}

// Ask runs f on the control goroutine and waits for it. It returns false if
// the loop has ended; f has then not run.
func (l *Loop) Ask(f func(*core.State)) bool {
	done := make(chan struct{})
	select {
	case l.asks <- func(s *core.State) { f(s); close(done) }:
		<-done
		return true
	case <-l.ctx.Done():
		return false
	}
}

// Dump copies the control tables.
func (l *Loop) Dump() (d core.Dump, ok bool) {
	ok = l.Ask(func(s *core.State) { d = s.Dump(l.now()) })
	return d, ok
}

// do carries out a command. What waits for others gets a goroutine of its own;
// the core bounds how many of each are under way.
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
