package guard

import (
	"strings"
	"time"

	"github.com/limpetdock/limpetdock/internal/kind"
	"github.com/limpetdock/limpetdock/internal/mesh"
	"github.com/limpetdock/limpetdock/internal/suspect"
)

// requestState is what the guard keeps of a request while it handles it.
type requestState struct {
	request *mesh.Request
	// start is when the request arrived, and waited how long it then waited for a slot.
	start, waited time.Duration
	// permittedAt is when the request got its permit (see pacer).
	permittedAt time.Duration
	// slotAt is when it could begin in its slot, after the end of a transient slowdown.
	slotAt time.Duration
	// class names the group of requests with similar service times, and baseService is
	// the expected base service time; 0 means unknown.
	class       string
	baseService time.Duration
	// timeInSlot is how long it was expected to hold a slot; 0 without goodput scheduling.
	timeInSlot time.Duration
	// concurrency is how many requests ran when it was sent, including itself, and
	// contention the factor by which that is expected to lengthen it.
	concurrency int
	contention  float64
	// backendTime is how long the exchange with the backend server took.
	backendTime time.Duration
	// slowdown is that of the backend server when the request was sent or refused, and
	// loadAge the age of the report on it.
	slowdown slowdownState
	loadAge  time.Duration
	// level is whether the request may crash the backend server, blockedFor for how much longer it is
	// blocked, and onTrial whether it was blocked before.
	level      suspect.Level
	blockedFor time.Duration
	onTrial    bool
	// statement is what the backend server's answer says about whether the request ran.
	statement mesh.Statement
}

// route returns the route of the request in a View, or nil if there is none.
func (s *requestState) route(v *mesh.View) *mesh.Route {
	path, _, _ := strings.Cut(s.request.URI, "?")
	return v.Config.Match(s.request.Host, path)
}

// minServiceShare is the share of the base service time within which hardly any request
// completes.
const minServiceShare = 1 / 2.0

// minRemaining returns the time that must remain before the deadline for the request to
// have a chance of completing.
func (s *requestState) minRemaining() time.Duration {
	return time.Duration(minServiceShare * float64(s.baseService))
}

// captureSlowdown stores the slowdown of the backend server at the time a request is
// sent or refused.
func (g *Guard) captureSlowdown(s *requestState) {
	now := g.Now()
	s.slowdown = g.slowdown.state(now)
	s.loadAge = now - time.Duration(g.reportedAt.Load())
}

// record logs the decision about a request.
func (g *Guard) record(s *requestState, a *mesh.Answer, e *kind.Error) {
	l, r := g.Load(), s.request
	if s.slowdown.current == 0 {
		g.captureSlowdown(s)
	}
	pairs := []any{
		"id", r.ID, "service", r.Service, "target", r.Target, "running", l.Running, "waiting", l.Waiting,
		"slots", l.Slots, "slowdown", s.slowdown.current, "standing", s.slowdown.sustained, "calm_in_ms", s.slowdown.recoversIn.Milliseconds(), "load_age_ms", s.loadAge.Milliseconds(),
		"revision", l.Revision, "left_ms", r.Remaining.Milliseconds(), "patience_ms", r.QueueTimeout.Milliseconds(),
		"priority", r.Priority, "aim_left_ms", r.ObjectiveRemaining.Milliseconds(), "work_ms", s.baseService.Milliseconds(),
		"beside", s.concurrency, "crowding", s.contention, "own_ms", s.backendTime.Milliseconds(),
		"waited_ms", s.waited.Milliseconds(), "took_ms", (g.Now() - s.start).Milliseconds(),
	}
	if perSecond, limited := g.limit.Limit(); limited {
		pairs = append(pairs, "limit_per_second", perSecond)
	}
	if s.timeInSlot > 0 {
		pairs = append(pairs, "nested", r.Nested, "slot_ms", s.timeInSlot.Milliseconds())
	}
	if s.slowdown.measured > 1 {
		pairs = append(pairs, "measured_slowness", s.slowdown.measured)
	}
	if s.level != suspect.Unsuspected {
		pairs = append(pairs, "suspicion", s.level.String())
	}
	if s.statement != mesh.NoStatement {
		pairs = append(pairs, "statement", s.statement.String())
	}
	if e != nil {
		if proof := e.ProofOfNotRun(); proof != "" {
			pairs = append(pairs, "proof", proof, "evidence", e.Evidence)
		}
		g.Log.InfoLimited("guard refused or lost", append(pairs, "kind", e.Kind, "outcome", e.ReportedOutcome(), "message", e.Message, "cause", errorText(e.Cause))...)
		return
	}
	if a.Conn != "" {
		pairs = append(pairs, "conn", a.Conn)
	}
	g.Log.InfoLimited("guard served", append(pairs, "status", a.Status)...)
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
