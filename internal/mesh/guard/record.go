package guard

import (
	"time"

	"github.com/limpetdock/limpetdock/internal/kind"
	"github.com/limpetdock/limpetdock/internal/mesh"
)

// visit is a request's time at the guard.
type visit struct {
	request *mesh.Request
	// start is when it came, waited how long it then waited for a slot.
	start, waited time.Duration
	// class names its like, and work is how long that is expected to take alone; 0 is not
	// known.
	class string
	work  time.Duration
	// beside is how many ran when it was sent, itself counted, and crowding how many
	// times as long it was expected to take for that.
	beside   int
	crowding float64
	// own is how long the backend server had it.
	own time.Duration
	// slowdown is that of the backend server when the request was sent or refused, and
	// loadAge how old its word on that was.
	slowdown slowness
	loadAge  time.Duration
}

// usefulShare is the part of the usual work under which hardly any request is answered.
const usefulShare = 1 / 2.0

// least gives the time that a request needs to have any use of being sent.
func (v *visit) least() time.Duration { return time.Duration(usefulShare * float64(v.work)) }

// note keeps what is known of the backend server when a request is sent or refused.
func (g *Guard) note(v *visit) {
	now := g.Now()
	v.slowdown = g.pulse.state(now)
	v.loadAge = now - time.Duration(g.toldAt.Load())
}

// record writes the decision about a request.
func (g *Guard) record(v *visit, a *mesh.Answer, e *kind.Error) {
	l, r := g.Load(), v.request
	if v.slowdown.now == 0 {
		g.note(v)
	}
	pairs := []any{
		"id", r.ID, "service", r.Service, "target", r.Target, "running", l.Running, "waiting", l.Waiting,
		"slots", l.Slots, "slowdown", v.slowdown.now, "standing", v.slowdown.standing, "calm_in_ms", v.slowdown.calmIn.Milliseconds(), "load_age_ms", v.loadAge.Milliseconds(),
		"revision", l.Revision, "left_ms", r.Left.Milliseconds(), "patience_ms", r.Patience.Milliseconds(),
		"priority", r.Priority, "aim_left_ms", r.AimLeft.Milliseconds(), "work_ms", v.work.Milliseconds(),
		"beside", v.beside, "crowding", v.crowding, "own_ms", v.own.Milliseconds(),
		"waited_ms", v.waited.Milliseconds(), "took_ms", (g.Now() - v.start).Milliseconds(),
	}
	if e != nil {
		g.Log.Decide("guard refused or lost", append(pairs, "kind", e.Kind, "outcome", e.Said(), "message", e.Message, "cause", errorText(e.Cause))...)
		return
	}
	g.Log.Decide("guard served", append(pairs, "status", a.Status)...)
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
