package directory

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/limpetdock/limpetdock/internal/decision"
	"github.com/limpetdock/limpetdock/internal/mesh"
)

// Event is a change of the store or of its availability.
type Event interface {
	apply(l *Loop, now time.Duration)
}

// The kinds of events.
type (
	// ConfigRead is a configuration that has been read, decoded and checked, and the
	// revision at which it was written.
	ConfigRead struct {
		Config   *mesh.Config
		Revision uint64
	}
	// TargetsRead is the complete list of targets at a revision.
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
	// EvacuationsRead are all evacuated zones at a revision, each with the revision at which it
	// was evacuated.
	EvacuationsRead struct {
		Revision uint64
		Zones    map[string]uint64
	}
	// ZoneEvacuated is the beginning of a zone's evacuation: its targets get no new requests.
	ZoneEvacuated struct {
		Revision uint64
		Zone     string
	}
	// EvacuationEnded is the end of a zone's evacuation.
	EvacuationEnded struct {
		Revision uint64
		Zone     string
	}
	// StoreUnavailable is sent when the store doesn't answer.
	StoreUnavailable struct{ Err error }
	// StoreRecovered is sent when the store answers again.
	StoreRecovered struct{}
	// StoreAnswered is sent when the store has answered this node at a revision. It
	// follows the events of the answer.
	StoreAnswered struct{ Revision uint64 }
	// OutageEnded is how long ago the store recovered, as reported by another node.
	OutageEnded struct{ Ago time.Duration }
)

func (e ConfigRead) apply(l *Loop, _ time.Duration) {
	if l.state.Configure(e.Config, e.Revision) {
		l.log.Event("configuration in force", "version", e.Config.Version, "routes", len(e.Config.Routes()))
		return
	}
	l.log.Event("configuration ignored: not newer than the one in force", "version", e.Config.Version)
}

func (e TargetsRead) apply(l *Loop, now time.Duration) {
	l.state.Replace(now, e.Revision, e.Targets)
	l.log.Event("targets read", "revision", e.Revision, "targets", len(e.Targets))
}

func (e TargetChanged) apply(l *Loop, now time.Duration) {
	r := e.Registration
	l.state.Put(now, r)
	l.log.Event("target changed", "target", r.ID, "service", r.Service, "address", r.Addr, "draining", r.State == mesh.Draining, "revision", r.Revision)
}

func (e TargetRemoved) apply(l *Loop, now time.Duration) {
	inGrace := l.state.inGracePeriod(now)
	l.state.Remove(now, e.Revision, e.ID)
	l.log.Event("target's registration ended", "target", e.ID, "revision", e.Revision, "store_was_away", inGrace)
}

func (e EvacuationsRead) apply(l *Loop, _ time.Duration) {
	l.state.ReplaceEvacuations(e.Revision, e.Zones)
	if len(e.Zones) > 0 {
		l.log.Event("evacuations read", "revision", e.Revision, "zones", slices.Sorted(maps.Keys(e.Zones)))
	}
}

func (e ZoneEvacuated) apply(l *Loop, _ time.Duration) {
	if l.state.Evacuate(e.Zone, e.Revision) {
		l.log.Event("zone evacuated", "zone", e.Zone, "revision", e.Revision)
	}
}

func (e EvacuationEnded) apply(l *Loop, _ time.Duration) {
	if l.state.EndEvacuation(e.Zone, e.Revision) {
		l.log.Event("zone's evacuation ended", "zone", e.Zone, "revision", e.Revision)
	}
}

func (e StoreUnavailable) apply(l *Loop, now time.Duration) {
	if l.state.MarkUnavailable(now) {
		l.log.Warn("store lost", "error", e.Err.Error())
	}
}

func (e StoreRecovered) apply(l *Loop, now time.Duration) {
	if l.state.MarkAvailable(now) {
		l.log.Event("store regained")
	}
}

func (e StoreAnswered) apply(l *Loop, _ time.Duration) { l.state.ConfirmEnds(e.Revision) }

func (e OutageEnded) apply(l *Loop, now time.Duration) { l.state.RecordOutageEnd(now - e.Ago) }

// maxEvents is how many batches of events may wait for the control goroutine. Beyond that,
// the reader of the store blocks.
const maxEvents = 64

// Loop is the control goroutine, the only one that accesses the State.
type Loop struct {
	state   *State
	log     *decision.Log
	now     func() time.Duration
	publish func(*mesh.View)
	events  chan []Event
	// onOwnEnded is called when the registration of the local backend server has ended.
	onOwnEnded func()
}

// NewLoop returns a Loop that passes new Views to publish.
func NewLoop(s *State, log *decision.Log, now func() time.Duration, publish func(*mesh.View)) *Loop {
	return &Loop{state: s, log: log, now: now, publish: publish, events: make(chan []Event, maxEvents), onOwnEnded: func() {}}
}

// OnOwnRegistrationEnded sets the function to call when the registration of the local backend
// server has ended. It must be called before Run.
func (l *Loop) OnOwnRegistrationEnded(f func()) { l.onOwnEnded = f }

// Take queues a batch of events that result in a single View.
func (l *Loop) Take(ctx context.Context, events ...Event) {
	select {
	case l.events <- events:
	case <-ctx.Done():
	}
}

// Run applies events until ctx ends.
func (l *Loop) Run(ctx context.Context) {
	for {
		timer, stop := l.dropTimer()
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
	endedBefore := l.state.OwnRegistrationEnded()
	for _, e := range events {
		e.apply(l, l.now())
	}
	if !endedBefore && l.state.OwnRegistrationEnded() {
		l.onOwnEnded()
	}
}

// dropRetryPause is the pause between checks for targets that are due during an outage.
const dropRetryPause = 500 * time.Millisecond

// dropTimer returns a channel that fires when the State has targets to drop, and a function
// that stops its timer.
func (l *Loop) dropTimer() (<-chan time.Time, func()) {
	due := l.state.NextDrop()
	if due == 0 {
		return nil, func() {}
	}
	wait := due - l.now()
	if wait <= 0 {
		wait = dropRetryPause
	}
	t := time.NewTimer(wait)
	return t.C, func() { t.Stop() }
}
