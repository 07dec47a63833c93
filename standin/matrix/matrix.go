// Package matrix injects each fault at each step of a request into a deployment
// of real processes, and checks the outcomes reported to callers against the
// backend servers' ledgers. It is not part of a release.
package matrix

import (
	"context"
	"fmt"
	"slices"
	"sync"

	"github.com/limpetdock/limpetdock/fleet"
	"github.com/limpetdock/limpetdock/standin/deploy"
)

// Step is a point in the processing of a request.
type Step string

// The steps, in order.
const (
	Accepted    Step = "accepted"
	Chosen      Step = "target chosen"
	Sent        Step = "sent"
	Recorded    Step = "recorded"
	Running     Step = "running"
	Answering   Step = "answering"
	Undelivered Step = "answered, not delivered"
	Resent      Step = "resent"
)

// Steps lists all steps in order.
var Steps = []Step{Accepted, Chosen, Sent, Recorded, Running, Answering, Undelivered, Resent}

// Style is how a request may be repeated.
type Style string

// The styles of requests.
const (
	Read   Style = "read"   // idempotent
	Once   Style = "once"   // at most once, sent a single time
	Ticket Style = "ticket" // at most once, resent under a ticket
)

// Styles lists all styles.
var Styles = []Style{Read, Once, Ticket}

// Guarantee is a guarantee that must hold in a cell.
type Guarantee string

// The guarantees that a cell can verify.
const (
	Whole    Guarantee = "W" // an answer is complete and belongs to the request, or is recognizably missing
	NotRun   Guarantee = "N" // a request reported as not run has not run and won't run later
	AtMost   Guarantee = "O" // an at-most-once request ran at most once
	Leaving  Guarantee = "L" // a leaving backend server gets no new requests
	Graceful Guarantee = "G" // requests in flight at a leaving server were finished
	Served   Guarantee = "S" // a read was served although one server was faulty
)

// Cell is a combination of one or two faults, a step and a style of request.
type Cell struct {
	Faults []string
	Step   Step
	Style  Style
}

func (c Cell) String() string { return fmt.Sprintf("%v at %q, %s", c.Faults, c.Step, c.Style) }

// Result is the result of a cell.
type Result struct {
	Cell    Cell
	Outcome Outcome
	Kind    string
	// Verified lists the guarantees that were tested and held.
	Verified []Guarantee
	// Violations describes the guarantees that were violated.
	Violations []string
	// Skipped is the reason why the cell doesn't apply; empty if it ran.
	Skipped string
	ids     []string
}

// Workers is the number of cells that run concurrently, each on its own service.
const Workers = 8

const (
	frontZone = "front"
	region    = "r"
	perZone   = 3
	slots     = 1
)

// Fleet returns the configuration of a matrix deployment: two front nodes for
// callers, and for each worker a service in its own zone.
func Fleet(revision uint64) fleet.Fleet {
	f := fleet.Fleet{
		Name: "matrix", Revision: revision,
		Zones: []fleet.Zone{{Name: frontZone, Region: region}},
		Teams: []fleet.Team{{Name: "all"}},
	}
	f.Services = append(f.Services, service(frontZone, frontZone, 2))
	for i := range Workers {
		zone := zoneOf(i)
		f.Zones = append(f.Zones, fleet.Zone{Name: zone, Region: region})
		f.Services = append(f.Services, service(serviceOf(i), zone, perZone))
	}
	return f
}

func zoneOf(worker int) string    { return fmt.Sprintf("z%d", worker) }
func serviceOf(worker int) string { return fmt.Sprintf("s%d", worker) }

func service(name, zone string, targets int) fleet.Service {
	s := fleet.Service{
		Name: name, Team: "all", Timeout: timeout,
		// Every request meets a fault; a retry budget of 10 % would be exhausted.
		RetryPercent: 100,
		Routes: []fleet.Route{
			{Name: "read", Path: "/read/*", Idempotent: true},
			{Name: "once", Path: "/once/*"},
		},
	}
	for i := range targets {
		s.Targets = append(s.Targets, fleet.Target{VM: fmt.Sprintf("%s-%d", name, i), Zone: zone, Slots: slots})
	}
	return s
}

// Runner runs cells on a deployment.
type Runner struct {
	d     *deploy.Deployment
	links links
}

// NewRunner returns a Runner on a deployment of Fleet that is ready.
func NewRunner(d *deploy.Deployment) *Runner {
	return &Runner{d: d, links: links{d: d}}
}

// Run runs the cells and returns their results in the same order.
func (r *Runner) Run(ctx context.Context, cells []Cell) ([]Result, error) {
	results := make([]Result, len(cells))
	next := make(chan int)
	errs := make([]error, Workers)
	var wg sync.WaitGroup
	for i := range Workers {
		wg.Go(func() {
			w := newWorker(r, i)
			defer w.close()
			for n := range next {
				if errs[i] != nil {
					continue
				}
				results[n], errs[i] = w.run(ctx, cells[n])
			}
		})
	}
	for n := range cells {
		next <- n
	}
	close(next)
	wg.Wait()
	for _, err := range errs {
		if err != nil {
			return nil, err
		}
	}
	return results, r.checkLedgers(results)
}

// checkLedgers adds the checks that need the ledgers, after all requests have ended.
func (r *Runner) checkLedgers(results []Result) error {
	starts, err := r.d.StartCounts()
	if err != nil {
		return err
	}
	for i := range results {
		v := &results[i]
		if v.Skipped != "" {
			continue
		}
		ran := 0
		for _, id := range v.ids {
			ran += starts[id]
		}
		v.check(NotRun, v.Outcome == ReportedNotRun, ran == 0, "reported not run (%s), ran %d times", v.Kind, ran)
		v.check(AtMost, v.Cell.Style != Read, ran <= 1, "ran %d times", ran)
		v.check(Whole, true, v.Outcome != Wrong && (v.Outcome != Ran || ran > 0), "%s, ran %d times", v.Kind, ran)
	}
	return nil
}

// check records whether a guarantee held, if it applies.
func (v *Result) check(p Guarantee, applies, held bool, format string, args ...any) {
	switch {
	case !applies:
	case held:
		v.Verified = append(v.Verified, p)
	default:
		v.Violations = append(v.Violations, string(p)+": "+fmt.Sprintf(format, args...))
	}
}

// links holds the link faults of all workers, because a relay only accepts the
// complete list.
type links struct {
	d      *deploy.Deployment
	mu     sync.Mutex
	active []deploy.LinkFault
}

func (l *links) add(ctx context.Context, f deploy.LinkFault) (remove func(context.Context) error, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.active = append(l.active, f)
	return func(ctx context.Context) error { return l.remove(ctx, f) }, l.d.SetLinkFaults(ctx, l.active...)
}

func (l *links) remove(ctx context.Context, f deploy.LinkFault) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if at := slices.Index(l.active, f); at >= 0 {
		l.active = slices.Delete(l.active, at, at+1)
	}
	return l.d.SetLinkFaults(ctx, l.active...)
}
