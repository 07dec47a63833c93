package mesh

import "time"

// Mode is whether a feature is in force.
type Mode uint8

// The modes.
const (
	// ModeAuto leaves the choice to the configuration in force.
	ModeAuto Mode = iota
	ModeOn
	ModeOff
)

// Enabled returns whether the feature is in force; auto is what the configuration calls for.
func (m Mode) Enabled(auto bool) bool {
	if m == ModeAuto {
		return auto
	}
	return m == ModeOn
}

// Features are the settings of the features that a configuration can call for.
type Features struct {
	// Overload controls goodput scheduling, call admission and measured slowness, and Links the
	// scheduling of the bytes that the node sends to others.
	Overload, Links Mode
	// LinkRate is the rate of the VM's link in bytes per second; 0 is unknown.
	LinkRate float64
}

// SetFeatures sets which features are in force under the View's configuration. It must be called
// before the View is shared.
func (v *View) SetFeatures(f Features) {
	v.OverloadScheduling = f.Overload.Enabled(v.Config.HasUrgentRoute())
	v.LinkScheduling = f.LinkRate > 0 && f.Links.Enabled(v.Config.HasBulkRoute())
	v.LinkRate = 0
	if v.LinkScheduling {
		v.LinkRate = f.LinkRate
	}
}

// urgentObjectiveRatio is the largest ratio of the latency objective to the timeout of an urgent
// route.
const urgentObjectiveRatio = 0.5

// Urgent reports whether the route has the highest priority and needs its answers well before its
// timeout.
func (r *Route) Urgent() bool {
	return r.Priority == 0 && r.LatencyObjective > 0 && r.LatencyObjective <= time.Duration(urgentObjectiveRatio*float64(r.Timeout))
}

// HasUrgentRoute reports whether a route is urgent.
func (c *Config) HasUrgentRoute() bool { return c.urgent }

// HasBulkRoute reports whether a route has large answers.
func (c *Config) HasBulkRoute() bool { return c.bulk }
