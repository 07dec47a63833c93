// Package chaos sends at-most-once requests to a deployment of real processes
// while it breaks the deployment at random, and then compares what callers were
// told with what the backend servers' ledgers say. It never ships.
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

// Options say how much to send and what to break.
type Options struct {
	// Requests is how many requests are sent in all.
	Requests int
	// Callers is how many callers send at the same time.
	Callers int
	// Pace is the time from one request of a caller to its next.
	Pace time.Duration
	// Seed decides every random choice; the interleaving of processes stays free.
	Seed uint64
	// Faults are the kinds of fault to draw from; empty means all of them.
	Faults []string
	// Log gets a line for each fault.
	Log func(format string, args ...any)
}

// Style is how a caller protects itself against running twice.
type Style string

// The styles of callers.
const (
	// Plain sends once and never again.
	Plain Style = "plain"
	// OwnKey sends again under a key of the caller's own.
	OwnKey Style = "own-key"
	// Ticket first obtains a ticket, and sends again under it.
	Ticket Style = "ticket"
)

// Outcome is what a caller was told in the end.
type Outcome string

// The outcomes.
const (
	Ran     Outcome = "run"
	NotRun  Outcome = "not-run"
	Unknown Outcome = "unknown"
	Wrong   Outcome = "wrong"
)

// result is the story of one request.
type result struct {
	id      string
	style   Style
	outcome Outcome
	detail  string
	sends   int
	// deniedRun says that some sending was told not-run: under a ticket or key
	// that speaks of every copy.
	deniedRun  bool
	doubled    bool
	start, end time.Time
}

// Count is a row of a report.
type Count struct {
	Run, NotRun, Unknown int
	// UnknownInCalm are unknown outcomes of requests during which nothing was broken.
	UnknownInCalm, Calm int
}

// Report is the result of a run.
type Report struct {
	Seed    uint64
	Sent    int
	Resends int
	// Doubled are requests of which two copies were sent at the same time.
	Doubled int
	ByStyle map[Style]Count
	Faults  map[string]int
	// Violations are broken promises, one line each.
	Violations []string
	// Kinds counts the error kinds behind outcomes other than run.
	Kinds map[string]int
}

// String gives the report as a small table.
func (r *Report) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "seed %d: %d requests, %d of them two copies at once, %d sent again in all, %d violations\n", r.Seed, r.Sent, r.Doubled, r.Resends, len(r.Violations))
	for _, s := range []Style{Plain, OwnKey, Ticket} {
		c := r.ByStyle[s]
		fmt.Fprintf(&b, "  %-8s run %d, not-run %d, unknown %d (while nothing was broken: %d of %d)\n",
			s, c.Run, c.NotRun, c.Unknown, c.UnknownInCalm, c.Calm)
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

// Run sends the requests while it breaks the deployment, mends it, and
// compares answers with ledgers.
func Run(ctx context.Context, d *deploy.Deployment, opts Options) (*Report, error) {
	breaker := newBreaker(d, opts)
	breaking, stop := context.WithCancel(ctx)
	var broken sync.WaitGroup
	broken.Go(func() { breaker.run(breaking) })
	results := sendAll(ctx, d, opts)
	stop()
	broken.Wait()
	if err := breaker.mendAll(ctx); err != nil {
		return nil, err
	}
	return judge(d, opts, results, breaker)
}

func sendAll(ctx context.Context, d *deploy.Deployment, opts Options) []result {
	var wg sync.WaitGroup
	perCaller := make([][]result, opts.Callers)
	for i := range opts.Callers {
		wg.Go(func() {
			c := newCaller(d, rand.New(rand.NewPCG(opts.Seed, uint64(i)+1)))
			defer c.close()
			for n := i; n < opts.Requests && ctx.Err() == nil; n += opts.Callers {
				next := time.Now().Add(opts.Pace)
				perCaller[i] = append(perCaller[i], c.one(ctx))
				wait(ctx, time.Until(next))
			}
		})
	}
	wg.Wait()
	return slices.Concat(perCaller...)
}

// judge compares what callers were told with what ran.
func judge(d *deploy.Deployment, opts Options, results []result, b *breaker) (*Report, error) {
	starts, err := d.Starts()
	if err != nil {
		return nil, err
	}
	r := &Report{Seed: opts.Seed, Sent: len(results), ByStyle: map[Style]Count{}, Faults: b.counts, Kinds: map[string]int{}}
	for _, one := range results {
		r.Resends += one.sends - 1
		if one.doubled {
			r.Doubled++
		}
		r.count(one, b.calm(one.start, one.end))
		ran := starts[one.id]
		switch {
		case ran > 1:
			r.violate(one, "ran %d times", ran)
		case one.outcome == Ran && ran == 0:
			r.violate(one, "was answered but isn't in a ledger")
		case one.deniedRun && ran > 0:
			r.violate(one, "was told not-run (%s) but ran", one.detail)
		case one.outcome == Wrong:
			r.violate(one, "got a wrong answer: %s", one.detail)
		}
	}
	return r, nil
}

func (r *Report) violate(one result, format string, args ...any) {
	r.Violations = append(r.Violations, fmt.Sprintf("%s (%s) ", one.id, one.style)+fmt.Sprintf(format, args...))
}

func (r *Report) count(one result, calm bool) {
	c := r.ByStyle[one.style]
	if calm {
		c.Calm++
	}
	switch one.outcome {
	case Ran:
		c.Run++
	case NotRun:
		c.NotRun++
	case Unknown:
		c.Unknown++
		if calm {
			c.UnknownInCalm++
		}
	}
	if one.outcome != Ran {
		r.Kinds[string(one.outcome)+"/"+one.detail]++
	}
	r.ByStyle[one.style] = c
}
