package matrix

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strings"
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

// checkLeaving sends reads while a VM leaves and looks that it gets none.
func (w *worker) checkLeaving(ctx context.Context, v *Verdict, vm string) error {
	// A stopped process has been started again by now, and takes new work.
	if !w.leaves(v.Cell) || slices.Contains(v.Cell.Faults, gracefulStop) {
		return nil
	}
	if !w.noticed(ctx, vm) {
		v.check(Leaving, true, false, "%s didn't notice for %s that it leaves", vm, noticeLimit)
		return nil
	}
	const reads = 6
	ids := map[string]bool{}
	for i := range reads {
		x := w.newExchange(ctx, Cell{Style: Read, Step: Running})
		x.hold = ""
		x.front = w.fronts[i%len(w.fronts)]
		ids[x.id] = true
		x.send()
		x.wait(patience)
		x.cancel()
	}
	runs, err := w.d.Runs(vm)
	if err != nil {
		return err
	}
	got := 0
	for _, r := range runs {
		if r.Event == "start" && ids[r.ID] {
			got++
		}
	}
	v.check(Leaving, true, got == 0, "%d new requests after it began to leave", got)
	return nil
}

// noticeLimit is the few seconds that a VM may take to hear that it leaves.
const noticeLimit = 5 * time.Second

func (w *worker) noticed(ctx context.Context, vm string) bool {
	_, err := eventually(ctx, noticeLimit, func() (string, bool) {
		for _, home := range w.homes {
			if s, err := stateOf(ctx, home); home.VM == vm && err == nil && s.Control.Leaving {
				return vm, true
			}
		}
		return "", false
	})
	return err == nil
}

// arrange sets up what will keep the request at its step.
func (w *worker) arrange(ctx context.Context, x *exchange) error {
	guardPort := fmt.Sprint(w.d.Fleet().Ports.Guard)
	switch x.cell.Step {
	case Chosen:
		return w.holdLink(ctx, deploy.LinkFault{From: frontZone, To: w.zone, Hold: true, Port: guardPort})
	case Sent:
		// The guard gets the start of the request's header and waits for the rest.
		const some = 20
		return w.holdLink(ctx, deploy.LinkFault{From: frontZone, To: w.zone, Hold: true, HoldAfter: some, Port: guardPort})
	case Undelivered:
		return w.holdLink(ctx, deploy.LinkFault{From: w.zone, To: frontZone, Hold: true, Port: guardPort})
	case Recorded:
		if err := w.fill(ctx); err != nil {
			return err
		}
		x.queued = w.queues(ctx)
	}
	return nil
}

func (w *worker) holdLink(ctx context.Context, f deploy.LinkFault) error {
	remove, err := w.links.add(ctx, f)
	w.holds = append(w.holds, remove)
	return err
}

// fill takes every slot of the service with reads that are held, so that the
// request of the cell waits in a guard's queue.
func (w *worker) fill(ctx context.Context) error {
	const tries = 4 * perZone
	full := map[string]bool{}
	for n := 0; len(full) < len(w.homes); n++ {
		if n == tries {
			return errUnreached
		}
		x := w.newExchange(ctx, Cell{Style: Read, Step: Running})
		x.front = w.homes[n%len(w.homes)]
		x.send()
		w.holds = append(w.holds, func(context.Context) error {
			x.wait(patience)
			x.cancel()
			return nil
		})
		if vm, err := w.startedSoon(ctx, x.id); err == nil {
			full[vm] = true
		}
	}
	return nil
}

// releaseAll lets everything that is held go on.
func (w *worker) releaseAll(ctx context.Context) error {
	holds := w.holds
	w.holds = nil
	for _, home := range w.homes {
		// One that is dead has nothing to release.
		_ = w.d.Release(ctx, home.VM, w.held...)
	}
	w.held = nil
	var first error
	for _, take := range holds {
		if err := take(ctx); err != nil && first == nil {
			first = err
		}
	}
	return first
}

// reach sends the request and waits until it is at its step; it gives the VM
// that has it.
func (w *worker) reach(ctx context.Context, x *exchange) (string, error) {
	x.send()
	switch x.cell.Step {
	case Accepted:
		return w.homes[0].VM, x.waitHalfSent()
	case Chosen, Sent:
		return w.heldAt(ctx)
	case Recorded:
		return w.queuedAt(ctx, x.queued)
	case Undelivered:
		if _, err := w.started(ctx, x.id); err != nil {
			return "", err
		}
		return w.heldAt(ctx)
	case Resent:
		vm, err := w.started(ctx, x.id)
		x.sendAgain(w.fronts[1])
		return vm, err
	}
	return w.started(ctx, x.id)
}

// started waits until a backend server of the service has started a request.
func (w *worker) started(ctx context.Context, id string) (string, error) {
	return eventually(ctx, reachLimit, w.look(id))
}

// startedSoon is the same for a request that may be waiting in a queue.
func (w *worker) startedSoon(ctx context.Context, id string) (string, error) {
	return eventually(ctx, settleFor, w.look(id))
}

func (w *worker) look(id string) func() (string, bool) {
	return func() (string, bool) {
		for _, home := range w.homes {
			runs, err := w.d.Runs(home.VM)
			if err == nil && slices.ContainsFunc(runs, func(r deploy.Run) bool { return r.ID == id }) {
				return home.VM, true
			}
		}
		return "", false
	}
}

// heldAt waits until the link holds bytes of the request, and tells whose.
func (w *worker) heldAt(ctx context.Context) (string, error) {
	return eventually(ctx, reachLimit, func() (string, bool) {
		held, err := w.d.Held(ctx, frontZone)
		if err != nil {
			return "", false
		}
		for _, addr := range held {
			for _, home := range w.homes {
				if strings.HasPrefix(addr, home.IP()+":") {
					return home.VM, true
				}
			}
		}
		return "", false
	})
}

// queuedAt waits until one more request than before waits at a guard of the
// service, and tells which.
func (w *worker) queuedAt(ctx context.Context, before map[string]int) (string, error) {
	return eventually(ctx, reachLimit, func() (string, bool) {
		for vm, n := range w.queues(ctx) {
			if n > before[vm] {
				return vm, true
			}
		}
		return "", false
	})
}

// queues tells how many requests wait at each guard of the service.
func (w *worker) queues(ctx context.Context) map[string]int {
	n := map[string]int{}
	for _, home := range w.homes {
		if s, err := stateOf(ctx, home); err == nil {
			n[home.VM] = s.Load.Waiting
		}
	}
	return n
}

func eventually(ctx context.Context, limit time.Duration, look func() (string, bool)) (string, error) {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(poll) {
		if got, ok := look(); ok {
			return got, nil
		}
		if ctx.Err() != nil {
			return "", ctx.Err()
		}
	}
	return "", errUnreached
}

// healthyLimit bounds the recovery between two cells.
const healthyLimit = 30 * time.Second

// waitHealthy waits until every node of the service serves and has nothing to
// do, and both nodes for callers can reach the service.
func (w *worker) waitHealthy(ctx context.Context) error {
	end := time.Now().Add(healthyLimit)
	for {
		sick := w.sick(ctx)
		if sick == "" {
			return nil
		}
		if time.Now().After(end) || ctx.Err() != nil {
			return errors.New("not healthy again: " + sick)
		}
		time.Sleep(poll)
	}
}

// sick names something that isn't healthy, or nothing.
func (w *worker) sick(ctx context.Context) string {
	for _, home := range w.homes {
		if s, err := stateOf(ctx, home); err != nil || !s.idle() {
			return fmt.Sprintf("node %s: %+v %v", home.VM, s, err)
		}
		if !backendLives(ctx, home) {
			return "backend server of " + home.VM
		}
	}
	for _, front := range w.fronts {
		x := w.newExchange(ctx, Cell{Style: Read, Step: Running})
		x.hold = ""
		x.front = front
		x.send()
		x.wait(patience)
		x.cancel()
		if x.outcome != Ran {
			return fmt.Sprintf("%s: %s %s", front.VM, x.outcome, x.detail)
		}
	}
	return ""
}

func newID() string { return uuid.NewString() }
