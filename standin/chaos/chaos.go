// Package chaos sends at-most-once requests to a deployment of real processes
// while it injects random faults, and then compares the outcomes reported to
// callers with the backend servers' ledgers. It is not part of a release.
package chaos

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/limpetdock/limpetdock/standin/deploy"
)

// Options configure the load and the faults of a run.
type Options struct {
	// Requests is the total number of requests.
	Requests int
	// Callers is the number of concurrent callers.
	Callers int
	// Interval is the minimum time between the starts of a caller's requests.
	Interval time.Duration
	// Seed determines all random choices, but not the interleaving of processes.
	Seed uint64
	// Faults are the kinds of fault to draw from; empty means all of them.
	Faults []string
	// Log is called for each fault; nil disables logging.
	Log func(format string, args ...any)
}

// Style is how a caller protects a request against running twice.
type Style string

// The styles of callers.
const (
	// Plain sends the request once, without a key or ticket.
	Plain Style = "plain"
	// OwnKey resends under a key that the caller generates.
	OwnKey Style = "own-key"
	// Ticket first obtains a ticket and resends under it.
	Ticket Style = "ticket"
)

// Outcome is the final outcome of a request as seen by its caller.
type Outcome string

// The outcomes.
const (
	Ran     Outcome = "run"
	NotRun  Outcome = "not-run"
	Unknown Outcome = "unknown"
	Wrong   Outcome = "wrong"
)

// result is the result of one request.
type result struct {
	id      string
	style   Style
	outcome Outcome
	detail  string
	sends   int
	// reportedNotRun is true if any copy was answered not-run. Under a ticket or
	// key that answer covers every copy.
	reportedNotRun bool
	duplicated     bool
	start, end     time.Time
}

// Count holds the outcome counts of one style.
type Count struct {
	Run, NotRun, Unknown int
	// FaultFree counts requests during which no fault was active, and
	// UnknownFaultFree those of them whose outcome is unknown.
	UnknownFaultFree, FaultFree int
}

// Report is the result of a run.
type Report struct {
	Seed    uint64
	Sent    int
	Resends int
	// Duplicated counts the requests sent as two concurrent copies.
	Duplicated int
	ByStyle    map[Style]Count
	Faults     map[string]int
	// Violations describes each violated guarantee in one line.
	Violations []string
	// Kinds counts the outcomes other than run by outcome and error kind.
	Kinds map[string]int
}

// String returns the report as a small table.
func (r *Report) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "seed %d: %d requests, %d of them two copies at once, %d sent again in all, %d violations\n", r.Seed, r.Sent, r.Duplicated, r.Resends, len(r.Violations))
	for _, s := range []Style{Plain, OwnKey, Ticket} {
		c := r.ByStyle[s]
		fmt.Fprintf(&b, "  %-8s run %d, not-run %d, unknown %d (while nothing was broken: %d of %d)\n",
			s, c.Run, c.NotRun, c.Unknown, c.UnknownFaultFree, c.FaultFree)
	}
	for _, list := range []map[string]int{r.Faults, r.Kinds} {
		b.WriteString(" ")
		for _, name := range sortedKeys(list) {
			fmt.Fprintf(&b, " %s %d", name, list[name])
		}
		b.WriteString("\n")
	}
	return b.String()
}

func sortedKeys(m map[string]int) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

// Run sends the requests while faults are injected, removes all faults, and
// compares the answers with the ledgers.
func Run(ctx context.Context, d *deploy.Deployment, opts Options) (*Report, error) {
	inj := newInjector(d, opts)
	injectCtx, stop := context.WithCancel(ctx)
	var injecting sync.WaitGroup
	injecting.Go(func() { inj.run(injectCtx) })
	results := sendAll(ctx, d, opts)
	stop()
	injecting.Wait()
	if err := inj.removeAll(ctx); err != nil {
		return nil, err
	}
	return evaluate(d, opts, results, inj)
}

func sendAll(ctx context.Context, d *deploy.Deployment, opts Options) []result {
	var wg sync.WaitGroup
	perCaller := make([][]result, opts.Callers)
	for i := range opts.Callers {
		wg.Go(func() {
			c := newCaller(d, rand.New(rand.NewPCG(opts.Seed, uint64(i)+1)))
			defer c.close()
			for n := i; n < opts.Requests && ctx.Err() == nil; n += opts.Callers {
				next := time.Now().Add(opts.Interval)
				perCaller[i] = append(perCaller[i], c.sendRequest(ctx))
				wait(ctx, time.Until(next))
			}
		})
	}
	wg.Wait()
	return slices.Concat(perCaller...)
}

// evaluate compares the outcomes reported to callers with the ledgers.
func evaluate(d *deploy.Deployment, opts Options, results []result, inj *injector) (*Report, error) {
	starts, err := d.StartCounts()
	if err != nil {
		return nil, err
	}
	r := &Report{Seed: opts.Seed, Sent: len(results), ByStyle: map[Style]Count{}, Faults: inj.counts, Kinds: map[string]int{}}
	for _, res := range results {
		r.Resends += res.sends - 1
		if res.duplicated {
			r.Duplicated++
		}
		r.count(res, inj.faultFree(res.start, res.end))
		ran := starts[res.id]
		switch {
		case ran > 1:
			r.addViolation(res, "ran %d times", ran)
		case res.outcome == Ran && ran == 0:
			r.addViolation(res, "was answered but isn't in a ledger")
		case res.reportedNotRun && ran > 0:
			r.addViolation(res, "was answered not-run (%s) but ran", res.detail)
		case res.outcome == Wrong:
			r.addViolation(res, "got a wrong answer: %s", res.detail)
		}
	}
	return r, nil
}

func (r *Report) addViolation(res result, format string, args ...any) {
	r.Violations = append(r.Violations, fmt.Sprintf("%s (%s) ", res.id, res.style)+fmt.Sprintf(format, args...))
}

func (r *Report) count(res result, faultFree bool) {
	c := r.ByStyle[res.style]
	if faultFree {
		c.FaultFree++
	}
	switch res.outcome {
	case Ran:
		c.Run++
	case NotRun:
		c.NotRun++
	case Unknown:
		c.Unknown++
		if faultFree {
			c.UnknownFaultFree++
		}
	}
	if res.outcome != Ran {
		r.Kinds[string(res.outcome)+"/"+res.detail]++
	}
	r.ByStyle[res.style] = c
}
