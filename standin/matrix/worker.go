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
	// clientTimeout is how long a caller waits; it is longer than any deadline.
	clientTimeout = 12 * time.Second
	poll          = 5 * time.Millisecond
	// reachLimit bounds the time until a request reaches its step. attempts is how
	// often a cell is tried if the request doesn't reach it.
	reachLimit = 4 * time.Second
	attempts   = 4
	// faultLead is how long a fault is active before held requests are released,
	// faultDuration how long it is active in total.
	faultLead     = 150 * time.Millisecond
	faultDuration = 1200 * time.Millisecond
)

var (
	conflictMu   sync.Mutex
	errUnreached = errors.New("the request did not reach the step")
)

// worker runs cells on one service.
type worker struct {
	*Runner
	zone, service   string
	client          *http.Client
	fronts, targets []deploy.VM
	// holds are functions that remove what holds the request of the cell at its step.
	holds []undo
	// heldIDs are the ids of requests that backend servers may hold.
	heldIDs []string
}

func newWorker(r *Runner, n int) *worker {
	w := &worker{Runner: r, zone: zoneOf(n), service: serviceOf(n), client: &http.Client{Timeout: clientTimeout}}
	w.client.Transport = &http.Transport{}
	for _, p := range r.d.VMs {
		switch p.Zone {
		case frontZone:
			w.fronts = append(w.fronts, p)
		case w.zone:
			w.targets = append(w.targets, p)
		}
	}
	return w
}

func (w *worker) close() { w.client.CloseIdleConnections() }

// run runs one cell. It tries again if the request doesn't reach its step.
func (w *worker) run(ctx context.Context, c Cell) (Result, error) {
	if why := w.skip(c); why != "" {
		return Result{Cell: c, Skipped: why}, nil
	}
	var v Result
	var err error
	for range attempts {
		if err = w.waitHealthy(ctx); err != nil {
			break
		}
		if v, err = w.runCell(ctx, c); !errors.Is(err, errUnreached) {
			break
		}
		// A fault of the previous cell still has an effect: a node may consider a
		// VM as leaving and refuse the request or choose another target. No fault
		// has been injected in this cell yet.
		time.Sleep(faultDuration)
	}
	if err != nil {
		return v, fmt.Errorf("%s: %w", c, err)
	}
	return v, nil
}

func (w *worker) skip(c Cell) string {
	for _, name := range c.Faults {
		f := faultNamed(name)
		if f.notApplicable != "" {
			return f.notApplicable
		}
		if f.onlyAt != "" && f.onlyAt != c.Step {
			return "it strikes only when it runs"
		}
	}
	if c.Step == Resent && c.Style != Ticket {
		return "without a ticket or key a second sending is another request"
	}
	return ""
}

// runCell brings a request to its step, injects the faults, resumes the request,
// removes the faults and checks the outcome.
func (w *worker) runCell(ctx context.Context, c Cell) (Result, error) {
	x := w.newExchange(ctx, c)
	defer x.cancel()
	if err := w.prepareHold(ctx, x); err != nil {
		return Result{}, err
	}
	vm, err := w.reach(ctx, x)
	if err != nil {
		w.releaseAll(ctx)
		return Result{}, err
	}
	undos, err := w.inject(ctx, c, vm)
	if err != nil {
		return Result{}, err
	}
	injected := time.Now()
	time.Sleep(faultLead)
	if err := w.releaseAll(ctx); err != nil {
		return Result{}, err
	}
	x.wait(time.Until(injected.Add(faultDuration)))
	v := Result{Cell: c}
	if err := w.checkLeaving(ctx, &v, vm); err != nil {
		return v, err
	}
	for _, back := range undos {
		if err := back(context.WithoutCancel(ctx)); err != nil {
			return v, err
		}
	}
	x.wait(clientTimeout)
	v.Outcome, v.Kind, v.ids = x.outcome, x.detail, []string{x.id}
	// Before it is recorded, a request isn't in flight at the server yet, and a
	// ticket is bound to that server only.
	inFlight := slices.Index(Steps, c.Step) >= slices.Index(Steps, Recorded)
	v.check(Graceful, w.leaves(c) && inFlight, x.outcome == Ran, "%s, %s", x.outcome, x.detail)
	v.check(Served, c.Style == Read && w.readsServed(c) && c.Step != Answering, x.outcome == Ran, "%s, %s", x.outcome, x.detail)
	return v, nil
}

func (w *worker) leaves(c Cell) bool {
	return !slices.ContainsFunc(c.Faults, func(name string) bool { return !faultNamed(name).leaves })
}

func (w *worker) readsServed(c Cell) bool {
	return len(c.Faults) == 1 && faultNamed(c.Faults[0]).readsServed
}

func (w *worker) inject(ctx context.Context, c Cell, vm string) ([]undo, error) {
	var undos []undo
	for _, name := range c.Faults {
		back, err := faultNamed(name).inject(ctx, w, vm)
		if err != nil {
			return nil, err
		}
		undos = append(undos, back)
	}
	return undos, nil
}

func newID() string { return uuid.NewString() }
