package directory

import (
	"context"
	"time"

	"github.com/limpetdock/limpetdock/internal/decision"
	"github.com/limpetdock/limpetdock/internal/mesh"
)

// Event is news of the store.
type Event interface {
	apply(l *Loop, now time.Duration)
}

// The events.
type (
	// ConfigRead is a configuration that was read, decoded and checked, and the
	// revision at which it was written.
	ConfigRead struct {
		Config   *mesh.Config
		Revision uint64
	}
	// TargetsRead is the whole list of targets as of a revision.
	TargetsRead struct {
		Revision uint64
		Targets  []Registration
	}
	// TargetChanged is one registration as it was written.
	TargetChanged struct{ Registration Registration }
	// TargetRemoved is the end of a registration.
	TargetRemoved struct {
		Revision uint64
		ID       string
	}
	// StoreLost says that the store doesn't answer, and why.
	StoreLost struct{ Err error }
	// StoreRegained says that it answers again.
	StoreRegained struct{}
	// StoreAnswered says that the store has answered this node as of a revision. It
	// comes after what the answer told.
	StoreAnswered struct{ Revision uint64 }
	// OutageEnded says how long ago the store came back, by another node's word.
	OutageEnded struct{ Ago time.Duration }
)

func (e ConfigRead) apply(l *Loop, _ time.Duration) {
	if l.state.Configure(e.Config, e.Revision) {
		l.log.Change("configuration in force", "version", e.Config.Version, "routes", len(e.Config.Routes()))
		return
	}
	l.log.Change("configuration not newer than the one in force", "version", e.Config.Version)
}

func (e TargetsRead) apply(l *Loop, now time.Duration) {
	l.state.Replace(now, e.Revision, e.Targets)
	l.log.Change("targets read", "revision", e.Revision, "targets", len(e.Targets))
}

func (e TargetChanged) apply(l *Loop, now time.Duration) {
	r := e.Registration
	l.state.Put(now, r)
	l.log.Change("target changed", "target", r.ID, "service", r.Service, "address", r.Addr, "draining", r.State == mesh.Draining, "revision", r.Revision)
}

func (e TargetRemoved) apply(l *Loop, now time.Duration) {
	held := l.state.lapsing(now)
	l.state.Remove(now, e.Revision, e.ID)
	l.log.Change("target's registration ended", "target", e.ID, "revision", e.Revision, "store_was_away", held)
}

func (e StoreLost) apply(l *Loop, now time.Duration) {
	if l.state.Lost(now) {
		l.log.Trouble("store lost", "error", e.Err.Error())
	}
}

func (e StoreRegained) apply(l *Loop, now time.Duration) {
	if l.state.Regained(now) {
		l.log.Change("store regained")
	}
}

func (e StoreAnswered) apply(l *Loop, _ time.Duration) { l.state.Answered(e.Revision) }

func (e OutageEnded) apply(l *Loop, now time.Duration) { l.state.OutageEnded(now - e.Ago) }

// maxEvents is how many events wait for the control goroutine. The reader of the
// store waits when they are more.
const maxEvents = 64

// Loop is the control goroutine: it alone touches the State.
type Loop struct {
	state   *State
	log     *decision.Log
	now     func() time.Duration
	publish func(*mesh.View)
	events  chan []Event
	// ownEnded is called when the own backend server's registration has ended.
	ownEnded func()
}

// NewLoop returns a Loop that hands new Views to publish.
func NewLoop(s *State, log *decision.Log, now func() time.Duration, publish func(*mesh.View)) *Loop {
	return &Loop{state: s, log: log, now: now, publish: publish, events: make(chan []Event, maxEvents), ownEnded: func() {}}
}

// OnOwnEnded sets what is called when the registration of the own backend server has
// ended. It must be called before Run.
func (l *Loop) OnOwnEnded(f func()) { l.ownEnded = f }

// Take hands events over that belong together: one View is made of them all.
func (l *Loop) Take(ctx context.Context, events ...Event) {
	select {
	case l.events <- events:
	case <-ctx.Done():
	}
}

// Run applies events until ctx ends.
func (l *Loop) Run(ctx context.Context) {
	for {
		timer, stop := l.wake()
		select {
		case events := <-l.events:
			l.apply(events)
		case <-timer:
		case <-ctx.Done():
			stop()
			return
		}
		stop()
		if v := l.state.Tick(l.now()); v != nil {
			l.publish(v)
		}
	}
}

func (l *Loop) apply(events []Event) {
	had := l.state.OwnEnded()
	for _, e := range events {
		e.apply(l, l.now())
	}
	if !had && l.state.OwnEnded() {
		l.ownEnded()
	}
}

// retryDrop is the pause before a look at targets that are due while the store is away.
const retryDrop = 500 * time.Millisecond

// wake gives a channel that tells when the State has something to drop.
func (l *Loop) wake() (<-chan time.Time, func()) {
	due := l.state.Due()
	if due == 0 {
		return nil, func() {}
	}
	wait := due - l.now()
	if wait <= 0 {
		wait = retryDrop
	}
	t := time.NewTimer(wait)
	return t.C, func() { t.Stop() }
}
