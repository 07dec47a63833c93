package admin

import (
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/gin-gonic/gin"

	"github.com/limpetdock/limpetdock/internal/attempt"
	"github.com/limpetdock/limpetdock/internal/config"
	"github.com/limpetdock/limpetdock/internal/core"
	"github.com/limpetdock/limpetdock/internal/gate"
	"github.com/limpetdock/limpetdock/internal/pick"
	"github.com/limpetdock/limpetdock/internal/version"
	"github.com/limpetdock/limpetdock/internal/wire"
)

// Dump is a node's whole state.
type Dump struct {
	Control  core.Dump              `json:"control"`
	Load     gate.Load              `json:"load"`
	Attempts AttemptsDump           `json:"attempts"`
	Targets  map[string]TargetState `json:"targets"`
	// HedgeAfterMs is, by service, the time without an answer after which an idempotent
	// request is also sent to a second target. Services without hedging are omitted.
	HedgeAfterMs map[string]float64 `json:"hedge_after_ms"`
}

// AttemptsDump summarizes the table of at-most-once attempts.
type AttemptsDump struct {
	Records     int `json:"records"`
	StoredBytes int `json:"stored_bytes"`
	// Keys is the node's state as a holder of callers' own keys.
	Keys attempt.KeyState `json:"keys"`
}

func (a *api) dump(c *gin.Context) {
	control, ok := a.tables(c)
	if !ok {
		return
	}
	records, stored := a.node.Attempts()
	d := Dump{
		Control: control, Load: a.node.Load(), Attempts: AttemptsDump{records, stored, a.node.KeyState()},
		Targets: map[string]TargetState{}, HedgeAfterMs: map[string]float64{},
	}
	if v := a.node.View(); v != nil {
		for _, s := range v.Services {
			if after := s.HedgeDelay(); after > 0 && s.HedgePercent > 0 {
				d.HedgeAfterMs[s.Name] = after.Seconds() * 1000
			}
			for _, t := range s.Targets {
				d.Targets[t.Place.VM] = stateOf(v, t, a.node.Now())
			}
		}
	}
	c.JSON(http.StatusOK, d)
}

// Status summarizes a node, for an overview of many nodes.
type Status struct {
	VM          string        `json:"vm"`
	Zone        string        `json:"zone"`
	Region      string        `json:"region"`
	Incarnation uint64        `json:"incarnation"`
	Build       version.Build `json:"build"`
	// Config is the version of the configuration in force; revision 0 means none.
	Config config.Version `json:"config"`
	// InForceFor is how long the configuration has been in force, in nanoseconds.
	InForceFor time.Duration `json:"in_force_for_ns"`
	// Refused is the reason for the last refusal of a configuration; empty if none was
	// refused.
	Refused string    `json:"refused,omitempty"`
	Serving bool      `json:"serving"`
	Leaving bool      `json:"leaving"`
	Load    gate.Load `json:"load"`
	// SuspectRequests counts the recorded request patterns that crashed backend servers.
	SuspectRequests int `json:"suspect_requests"`
	// Leavers and Suspects are the other nodes that this node considers leaving or
	// unreachable.
	Leavers  []string `json:"leavers"`
	Suspects []string `json:"suspects"`
}

// suspectThreshold is the number of failed exchanges in a row after which a peer
// counts as unreachable.
const suspectThreshold = 3

func (a *api) status(c *gin.Context) {
	d, ok := a.tables(c)
	if !ok {
		return
	}
	s := Status{
		VM: d.Self.VM, Zone: d.Self.Zone, Region: d.Self.Region, Incarnation: d.Self.Incarnation,
		Build: version.Current(), Config: d.Config.Version, InForceFor: d.Config.InForceFor,
		Refused: lastRefusal(d), Serving: a.node.View() != nil, Leaving: d.Leaving,
		Load: a.node.Load(), SuspectRequests: len(d.Suspects), Leavers: []string{}, Suspects: []string{},
	}
	for name, m := range d.Members {
		switch {
		case m.State == wire.MemberLeaving:
			s.Leavers = append(s.Leavers, name)
		case m.State == wire.MemberSuspect || m.Failures >= suspectThreshold:
			s.Suspects = append(s.Suspects, name)
		}
	}
	slices.Sort(s.Leavers)
	slices.Sort(s.Suspects)
	c.JSON(http.StatusOK, s)
}

// lastRefusal returns the revision that was refused last, with the reason.
func lastRefusal(d core.Dump) string {
	if len(d.Config.Refused) == 0 {
		return ""
	}
	r := d.Config.Refused[len(d.Config.Refused)-1]
	return fmt.Sprintf("revision %d: %s", r.Version.Revision, r.Reason)
}

// Config describes the configuration in force.
type Config struct {
	Version config.Version `json:"version"`
	// Since is the time it came into force, by the node's own clock.
	Since      time.Time     `json:"since"`
	InForceFor time.Duration `json:"in_force_for_ns"`
	Fleet      string        `json:"fleet"`
	Services   []string      `json:"services"`
	// Refused lists the versions refused most recently, with reasons.
	Refused []core.RefusalDump `json:"refused"`
}

func (a *api) config(c *gin.Context) {
	v := a.view(c)
	if v == nil {
		return
	}
	d, ok := a.tables(c)
	if !ok {
		return
	}
	out := Config{
		Version: d.Config.Version, InForceFor: d.Config.InForceFor, Since: time.Now().Add(-d.Config.InForceFor).UTC(),
		Fleet: v.Config.Fleet(), Refused: d.Config.Refused,
	}
	for name := range v.Config.Services {
		out.Services = append(out.Services, name)
	}
	slices.Sort(out.Services)
	c.JSON(http.StatusOK, out)
}

// documents writes the documents in force in the stream format of package fleet.
func (a *api) documents(c *gin.Context) {
	v := a.view(c)
	if v == nil {
		return
	}
	c.Status(http.StatusOK)
	c.Header("Content-Type", "text/plain; charset=utf-8")
	pub := v.Config.Publication()
	// An error means that the client has disconnected.
	_, _ = pub.WriteTo(c.Writer)
}

// States and distances of targets.
const (
	StateCandidate   = "candidate"
	StateFar         = "other region, used when the own region has none"
	StateLeaving     = "leaving"
	StateNoAddress   = "not in the VM list"
	StateAvoided     = "passed over after a refusal or a failure"
	distanceHere     = "this VM"
	distanceZone     = "own zone"
	distanceRegion   = "own region"
	distanceOtherReg = "other region"
)

// TargetState is the current state of a target as seen by the node.
type TargetState struct {
	VM       string `json:"vm"`
	Zone     string `json:"zone"`
	Region   string `json:"region"`
	Distance string `json:"distance"`
	Guard    string `json:"guard"`
	State    string `json:"state"`
	// InFlight counts the node's own requests at the target.
	InFlight int32 `json:"in_flight"`
	Slots    int   `json:"slots"`
	// EstimateMs is the estimated time to an answer, including the round trip.
	EstimateMs float64 `json:"estimate_ms"`
	// Incarnation is the target's last known incarnation, 0 if unknown.
	Incarnation uint64 `json:"incarnation"`
}

func stateOf(v *pick.View, t *pick.Target, now time.Duration) TargetState {
	s := TargetState{
		VM: t.Place.VM, Zone: t.Place.Zone, Region: t.Region, Distance: distance(v, t), Guard: t.Guard,
		InFlight: t.Stat.InFlight.Load(), Slots: t.Slots, EstimateMs: t.Cost(now) / float64(time.Millisecond),
	}
	if id := t.Stat.Identity(); id != nil {
		s.Incarnation = id.Incarnation
	}
	switch {
	case t.Leaving:
		s.State = StateLeaving
	case t.Guard == "":
		s.State = StateNoAddress
	case t.Stat.Excluded(now):
		s.State = StateAvoided
	case t.Region != v.Here.Region:
		s.State = StateFar
	default:
		s.State = StateCandidate
	}
	return s
}

func distance(v *pick.View, t *pick.Target) string {
	switch {
	case v.Local(t):
		return distanceHere
	case t.Place.Zone == v.Here.Zone:
		return distanceZone
	case t.Region == v.Here.Region:
		return distanceRegion
	}
	return distanceOtherReg
}
