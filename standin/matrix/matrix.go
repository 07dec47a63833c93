// Package matrix breaks a deployment of real processes with each fault at each
// step of a request, and judges what callers were told by the backend servers'
// ledgers. It never ships.
package matrix

import (
	"context"
	"fmt"
	"slices"
	"sync"

	"github.com/limpetdock/limpetdock/fleet"
	"github.com/limpetdock/limpetdock/standin/deploy"
)

// Step is a point in the life of a request.
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
	Ticket Style = "ticket" // at most once, sent again under a ticket
)

// Styles lists all styles.
var Styles = []Style{Read, Once, Ticket}

// Promise is something that must hold in a cell.
type Promise string

// The promises that a cell can show.
const (
	Whole    Promise = "W" // an answer is the caller's own and whole, or visibly none
	NotRun   Promise = "N" // what was told not run has not run and doesn't later
	AtMost   Promise = "O" // an at-most-once request ran at most once
	Leaving  Promise = "L" // a leaving backend server gets no new work
	Graceful Promise = "G" // what was in flight at a leaving server was finished
	Served   Promise = "S" // a read was served although one server was in trouble
)

// Cell is one fault, or two, at one step of one style of request.
type Cell struct {
	Faults []string
	Step   Step
	Style  Style
}

func (c Cell) String() string { return fmt.Sprintf("%v at %q, %s", c.Faults, c.Step, c.Style) }

// Verdict is what a cell came to.
type Verdict struct {
	Cell    Cell
	Outcome Outcome
	Kind    string
	// Shown are the promises that were put to the test and held.
	Shown []Promise
	// Broken names promises that were broken, and how.
	Broken []string
	// Skipped says why the cell doesn't apply.
	Skipped string
	ids     []string
}

// Workers is how many cells run at once, each on a service of its own.
const Workers = 8

const (
	frontZone = "front"
	region    = "r"
	perZone   = 3
	slots     = 1
)

// Fleet is the deployment that a matrix runs on: two nodes that take callers,
// and a service in a zone of its own for each worker.
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
		// Every request here meets a fault; a share of 10 % would soon be spent.
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

// Run runs the cells and gives their verdicts in the same order.
func (r *Runner) Run(ctx context.Context, cells []Cell) ([]Verdict, error) {
	verdicts := make([]Verdict, len(cells))
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
				verdicts[n], errs[i] = w.run(ctx, cells[n])
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
	return verdicts, r.judge(verdicts)
}

// judge adds what only the ledgers can tell, once nothing runs any more.
func (r *Runner) judge(verdicts []Verdict) error {
	starts, err := r.d.Starts()
	if err != nil {
		return err
	}
	for i := range verdicts {
		v := &verdicts[i]
		if v.Skipped != "" {
			continue
		}
		ran := 0
		for _, id := range v.ids {
			ran += starts[id]
		}
		v.check(NotRun, v.Outcome == ToldNotRun, ran == 0, "told not run (%s), ran %d times", v.Kind, ran)
		v.check(AtMost, v.Cell.Style != Read, ran <= 1, "ran %d times", ran)
		v.check(Whole, true, v.Outcome != Wrong && (v.Outcome != Ran || ran > 0), "%s, ran %d times", v.Kind, ran)
	}
	return nil
}

// check notes whether a promise held, where it was put to the test.
func (v *Verdict) check(p Promise, applies, held bool, format string, args ...any) {
	switch {
	case !applies:
	case held:
		v.Shown = append(v.Shown, p)
	default:
		v.Broken = append(v.Broken, string(p)+": "+fmt.Sprintf(format, args...))
	}
}

// links holds the link faults of all workers, since a relay takes them as one list.
type links struct {
	d   *deploy.Deployment
	mu  sync.Mutex
	now []deploy.LinkFault
}

func (l *links) add(ctx context.Context, f deploy.LinkFault) (remove func(context.Context) error, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.now = append(l.now, f)
	return func(ctx context.Context) error { return l.remove(ctx, f) }, l.d.SetLinks(ctx, l.now...)
}

func (l *links) remove(ctx context.Context, f deploy.LinkFault) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if at := slices.Index(l.now, f); at >= 0 {
		l.now = slices.Delete(l.now, at, at+1)
	}
	return l.d.SetLinks(ctx, l.now...)
}
