package mesh

import (
	"math"
	"strings"

	"github.com/rotisserie/eris"
)

// Check returns an error that describes what is wrong with the configuration, or nil. An
// invalid configuration is rejected as a whole: applying part of it could route requests to
// unintended services.
func (c *Config) Check() error {
	if c.Version == 0 {
		return eris.New("a configuration needs a version above 0")
	}
	for _, s := range c.Services {
		if s.ColdPerSecond < 0 || math.IsNaN(s.ColdPerSecond) {
			return eris.Errorf("service %s: the rate of requests to cold targets is negative", s.Name)
		}
	}
	for _, r := range c.Routes() {
		if err := c.checkRoute(r); err != nil {
			return eris.Wrapf(err, "route %s", r.Name)
		}
	}
	l := c.Limits
	if l.HeaderBytes < 0 || l.BodyBytes < 0 || l.HeaderTimeout < 0 || l.IdleTimeout < 0 {
		return eris.New("a limit is negative")
	}
	return nil
}

func (c *Config) checkRoute(r *Route) error {
	switch {
	case r.Host == "":
		return eris.New("no host")
	case !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/"):
		return eris.Errorf("prefix %q doesn't begin and end with a slash", r.Prefix)
	case r.Timeout <= 0:
		return eris.New("no timeout")
	case r.LatencyObjective < 0, r.MaxTargets < 0, r.Priority < 0:
		return eris.New("a latency objective, target limit or priority is negative")
	case len(r.Shares) == 0:
		return eris.New("no service")
	}
	total := 0.0
	for _, s := range r.Shares {
		if c.Services[s.Service] == nil {
			return eris.Errorf("service %q isn't declared", s.Service)
		}
		if s.Weight < 0 {
			return eris.New("a weight is negative")
		}
		total += s.Weight
	}
	if total <= 0 {
		return eris.New("no weight is above 0")
	}
	return nil
}
