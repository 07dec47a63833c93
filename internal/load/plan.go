// Package load sends an open-loop load to nodes and records what came back.
// Arrivals follow a schedule that doesn't wait for answers, and latency counts
// from the scheduled time, so that a stalled system can't hide its queue
// ("coordinated omission", G. Tene, "How NOT to Measure Latency", 2015).
package load

import (
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/rotisserie/eris"
)

// Arrivals is how the times between arrivals are drawn.
type Arrivals string

// The kinds of arrivals.
const (
	// Poisson draws exponential times between arrivals, as of many callers
	// that don't know of each other.
	Poisson Arrivals = "poisson"
	// Constant keeps the same time between all arrivals.
	Constant Arrivals = "constant"
)

// Plan says what is sent, how often and where to.
type Plan struct {
	// To are the addresses calls go to, IP:PORT, each as likely as the others.
	To []string
	// Rate is arrivals per second, over all kinds.
	Rate float64
	// Duration is how long arrivals are scheduled; the last answers come later.
	Duration time.Duration
	// Arrivals is Poisson when empty.
	Arrivals Arrivals
	// Seed makes the schedule; the same seed gives the same schedule.
	Seed uint64
	// Workers bounds the calls in flight; 0 means DefaultWorkers.
	Workers int
	// Surges change the rate for a time; where two overlap the first holds.
	Surges []Surge
	Kinds  []Kind
}

// Surge multiplies the rate from one time of the run to another.
type Surge struct {
	From, To time.Duration
	Factor   float64
}

// Kind is one kind of call in the mix.
type Kind struct {
	Name                  string
	Service, Method, Path string
	// Weight is the kind's share of all arrivals, relative to the others' weights.
	Weight int
	// Body is the size of the request's body, in bytes.
	Body int
	// Timeout is the deadline; an answer after it is no goodput.
	Timeout time.Duration
	// Chain are services that the backend server stand-ins call on from one
	// to the next; at most MaxChain.
	Chain []string
	// To replaces the plan's addresses when it isn't empty.
	To []string
	// Headers are sent as they are.
	Headers map[string]string
}

// Defaults and limits of a plan.
const (
	DefaultWorkers = 512
	DefaultTimeout = 2 * time.Second
	// MaxChain is the deepest call chain: the call itself and ten more.
	MaxChain   = 10
	maxRate    = 200_000
	maxWorkers = 100_000
	maxBody    = 1 << 30
)

// WithDefaults returns a copy in which every default is filled in.
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

// Check says what is wrong with a plan whose defaults are filled in.
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
			return eris.Errorf("kind %q is there twice", k.Name)
		}
		names[k.Name] = true
	}
	return nil
}

func (p Plan) checkKind(k Kind) error {
	switch {
	case len(p.to(k)) == 0:
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

// to gives the addresses of a kind.
func (p Plan) to(k Kind) []string {
	if len(k.To) > 0 {
		return k.To
	}
	return p.To
}
