package matrix

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/limpetdock/limpetdock/standin/deploy"
)

const (
	timeout = 6 * time.Second
	// patience is how long a caller waits, longer than any deadline.
	patience = 12 * time.Second
	poll     = 5 * time.Millisecond
	// reachLimit bounds the time until a request is at a step, and attempts how
	// often a cell is begun whose request doesn't come to it.
	reachLimit = 4 * time.Second
	attempts   = 4
	// settleFor is how long a fault works before what is held goes on, and
	// brokenFor how long it works in all.
	settleFor = 150 * time.Millisecond
	brokenFor = 1200 * time.Millisecond
)

var (
	raceMu       sync.Mutex
	errUnreached = errors.New("the request never came to the step")
)

// worker runs cells on one service.
type worker struct {
	*Runner
	zone, service string
	client        *http.Client
	fronts, homes []deploy.Place
	// holds take back what keeps the request of the cell at its step.
	holds []mend
	// held are the ids of the requests that backend servers hold.
	held []string
}

func newWorker(r *Runner, n int) *worker {
	w := &worker{Runner: r, zone: zoneOf(n), service: serviceOf(n), client: &http.Client{Timeout: patience}}
	w.client.Transport = &http.Transport{}
	for _, p := range r.d.Places {
		switch p.Zone {
		case frontZone:
			w.fronts = append(w.fronts, p)
		case w.zone:
			w.homes = append(w.homes, p)
		}
	}
	return w
}

func (w *worker) close() { w.client.CloseIdleConnections() }

// run runs one cell and leaves the service as it was.
func (w *worker) run(ctx context.Context, c Cell) (Verdict, error) {
	if why := w.skip(c); why != "" {
		return Verdict{Cell: c, Skipped: why}, nil
	}
	var v Verdict
	var err error
	for range attempts {
		if err = w.waitHealthy(ctx); err != nil {
			break
		}
		if v, err = w.cell(ctx, c); !errors.Is(err, errUnreached) {
			break
		}
		// The cell before still shows: a node may think that a VM is leaving,
		// and refuse or go elsewhere. Nothing has been broken yet.
		time.Sleep(brokenFor)
	}
	if err != nil {
		return v, fmt.Errorf("%s: %w", c, err)
	}
	return v, nil
}

func (w *worker) skip(c Cell) string {
	for _, name := range c.Faults {
		f := faultNamed(name)
		if f.never != "" {
			return f.never
		}
		if f.only != "" && f.only != c.Step {
			return "it strikes only when it runs"
		}
	}
	if c.Step == Resent && c.Style != Ticket {
		return "without a ticket or key a second sending is another request"
	}
	return ""
}

// cell brings a request to the step, breaks, lets it go on, mends, and looks.
func (w *worker) cell(ctx context.Context, c Cell) (Verdict, error) {
	x := w.newExchange(ctx, c)
	defer x.cancel()
	if err := w.arrange(ctx, x); err != nil {
		return Verdict{}, err
	}
	vm, err := w.reach(ctx, x)
	if err != nil {
		w.releaseAll(ctx)
		return Verdict{}, err
	}
	mends, err := w.strike(ctx, c, vm)
	if err != nil {
		return Verdict{}, err
	}
	struck := time.Now()
	time.Sleep(settleFor)
	if err := w.releaseAll(ctx); err != nil {
		return Verdict{}, err
	}
	x.wait(time.Until(struck.Add(brokenFor)))
	v := Verdict{Cell: c}
	if err := w.checkLeaving(ctx, &v, vm); err != nil {
		return v, err
	}
	for _, back := range mends {
		if err := back(context.WithoutCancel(ctx)); err != nil {
			return v, err
		}
	}
	x.wait(patience)
	v.Outcome, v.Kind, v.ids = x.outcome, x.detail, []string{x.id}
	// Before it is recorded a request isn't in flight at the server yet, and a
	// ticket names that server alone.
	inFlight := slices.Index(Steps, c.Step) >= slices.Index(Steps, Recorded)
	v.check(Graceful, w.leaves(c) && inFlight, x.outcome == Ran, "%s, %s", x.outcome, x.detail)
	v.check(Served, c.Style == Read && w.harmless(c) && c.Step != Answering, x.outcome == Ran, "%s, %s", x.outcome, x.detail)
	return v, nil
}

func (w *worker) leaves(c Cell) bool {
	return !slices.ContainsFunc(c.Faults, func(name string) bool { return !faultNamed(name).leaves })
}

func (w *worker) harmless(c Cell) bool {
	return len(c.Faults) == 1 && faultNamed(c.Faults[0]).harmless
}

func (w *worker) strike(ctx context.Context, c Cell, vm string) ([]mend, error) {
	var mends []mend
	for _, name := range c.Faults {
		back, err := faultNamed(name).strike(ctx, w, vm)
		if err != nil {
			return nil, err
		}
		mends = append(mends, back)
	}
	return mends, nil
}

func newID() string { return uuid.NewString() }
