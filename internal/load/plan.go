// Package load sends an open-loop load to nodes and records the outcomes.
// Arrivals follow a schedule that doesn't wait for answers, and latency is measured
// from the scheduled time. A stalled system therefore can't hide queueing time
// ("coordinated omission", G. Tene, "How NOT to Measure Latency", 2015).
package load

import (
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/rotisserie/eris"
)

// Arrivals is the distribution of the times between arrivals.
type Arrivals string

// Arrival distributions.
const (
	// Poisson draws exponentially distributed times between arrivals, as many
	// independent callers produce them.
	Poisson Arrivals = "poisson"
	// Constant spaces all arrivals evenly.
	Constant Arrivals = "constant"
)

// Plan describes a load: the calls, their rate and their destinations.
type Plan struct {
	// To lists the addresses that calls go to, as IP:PORT, each with equal probability.
	To []string
	// Rate is the number of arrivals per second over all kinds.
	Rate float64
	// Duration is how long arrivals are scheduled; the last answers arrive later.
	Duration time.Duration
	// Arrivals defaults to Poisson.
	Arrivals Arrivals
	// Seed initializes the random schedule; the same seed produces the same schedule.
	Seed uint64
	// Workers is the maximum number of calls in flight; 0 means DefaultWorkers.
	Workers int
	// Surges change the rate for a period; where two overlap, the first applies.
	Surges []Surge
	Kinds  []Kind
}

// Surge multiplies the rate by Factor between two times since the start of the run.
type Surge struct {
	From, To time.Duration
	Factor   float64
}

// Kind is one kind of call in the mix.
type Kind struct {
	Name                  string
	Service, Method, Path string
	// Weight is the kind's share of all arrivals, relative to the weights of the others.
	Weight int
	// Body is the size of the request's body, in bytes.
	Body int
	// Timeout is the deadline; a later answer doesn't count as goodput.
	Timeout time.Duration
	// Chain lists the services that the backend server stand-ins call, each from the
	// one before; at most MaxChain.
	Chain []string
	// To overrides the plan's addresses if it isn't empty.
	To []string
	// Headers are added to each request unchanged.
	Headers map[string]string
}

// Defaults and limits of a plan.
const (
	DefaultWorkers = 512
	DefaultTimeout = 2 * time.Second
	// MaxChain is the longest call chain: ten services after the call itself.
	MaxChain   = 10
	maxRate    = 200_000
	maxWorkers = 100_000
	maxBody    = 1 << 30
)

// WithDefaults returns a copy of p in which defaults replace unset values.
func (p Plan) WithDefaults() Plan {
	if p.Arrivals == "" {
		p.Arrivals = Poisson
	}
	if p.Workers == 0 {
		p.Workers = DefaultWorkers
	}
	p.Kinds = slices.Clone(p.Kinds)
	for i := range p.Kinds {
		p.Kinds[i] = p.Kinds[i].withDefaults()
	}
	return p
}

func (k Kind) withDefaults() Kind {
	if k.Method == "" {
		k.Method = http.MethodGet
	}
	if k.Path == "" {
		k.Path = "/"
	}
	if k.Weight == 0 {
		k.Weight = 1
	}
	if k.Timeout == 0 {
		k.Timeout = DefaultTimeout
	}
	if k.Name == "" {
		k.Name = k.Service + " " + k.Method + " " + k.Path
	}
	return k
}

// Check returns an error if p is invalid. Defaults must be filled in.
func (p Plan) Check() error {
	switch {
	case !(p.Rate > 0 && p.Rate <= maxRate):
		return eris.Errorf("rate must be above 0 and at most %d calls a second", maxRate)
	case p.Duration <= 0:
		return eris.New("duration must be above 0, for example 30s")
	case p.Arrivals != Poisson && p.Arrivals != Constant:
		return eris.Errorf("arrivals must be %s or %s, not %q", Poisson, Constant, p.Arrivals)
	case slices.ContainsFunc(p.Surges, func(s Surge) bool { return !(s.Factor > 0) || s.From >= s.To }):
		return eris.New("a surge needs a factor above 0 and must end after it begins")
	case p.Workers < 1 || p.Workers > maxWorkers:
		return eris.Errorf("workers must be 1 to %d", maxWorkers)
	case len(p.Kinds) == 0:
		return eris.New("the plan has no kind of call")
	}
	names := map[string]bool{}
	for _, k := range p.Kinds {
		if err := p.checkKind(k); err != nil {
			return eris.Errorf("kind %q: %v", k.Name, err)
		}
		if names[k.Name] {
			return eris.Errorf("kind %q is declared twice", k.Name)
		}
		names[k.Name] = true
	}
	return nil
}

func (p Plan) checkKind(k Kind) error {
	switch {
	case len(p.addressesOf(k)) == 0:
		return eris.New("there is no address to send to")
	case k.Weight < 0:
		return eris.New("weight must be at least 1")
	case k.Timeout < time.Millisecond:
		return eris.New("timeout must be at least 1ms")
	case k.Body < 0 || k.Body > maxBody:
		return eris.Errorf("body must be 0 to %s bytes", strconv.Itoa(maxBody))
	case len(k.Chain) > MaxChain:
		return eris.Errorf("chain has %d services, at most %d are allowed", len(k.Chain), MaxChain)
	case k.Path[0] != '/':
		return eris.Errorf("path %q must begin with /", k.Path)
	}
	return nil
}

// addressesOf returns the addresses that calls of kind k go to.
func (p Plan) addressesOf(k Kind) []string {
	if len(k.To) > 0 {
		return k.To
	}
	return p.To
}
