package chaos

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/limpetdock/limpetdock/standin/deploy"
)

const (
	// A fault lasts minFault to maxFault, followed by faultPause without faults.
	minFault   = 300 * time.Millisecond
	maxFault   = 2 * time.Second
	faultPause = 2000 * time.Millisecond
	// settleTime is how long after a fault a request still counts as affected.
	settleTime = 1000 * time.Millisecond
)

// fault injects a fault and returns a function that removes it.
type fault func(ctx context.Context, inj *injector) (undo func(context.Context) error, err error)

var faults = map[string]fault{
	"kill-node":      killNode,
	"kill-backend":   killBackend,
	"freeze-node":    freezeNode,
	"freeze-backend": freezeBackend,
	"cut":            cut,
	"one-way-cut":    oneWayCut,
	"silence":        silence,
	"drain":          drain,
	"vm-leaving":     vmLeaving,
	"platform-down":  platformDown,
}

// span is a time span in which a fault was active.
type span struct{ from, to time.Time }

// injector injects random faults into the deployment, one or two at a time.
type injector struct {
	d          *deploy.Deployment
	rnd        *rand.Rand
	log        func(string, ...any)
	names      []string
	counts     map[string]int
	mu         sync.Mutex
	faultSpans []span
}

func newInjector(d *deploy.Deployment, opts Options) *injector {
	names := slices.Clone(opts.Faults)
	if len(names) == 0 {
		for name := range faults {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	log := opts.Log
	if log == nil {
		log = func(string, ...any) {}
	}
	return &injector{d: d, rnd: rand.New(rand.NewPCG(opts.Seed, 0)), log: log, names: names, counts: map[string]int{}}
}

// run injects and removes faults until ctx is cancelled.
func (inj *injector) run(ctx context.Context) {
	for ctx.Err() == nil {
		from := time.Now()
		undos := inj.inject(ctx)
		if inj.rnd.IntN(4) == 0 {
			undos = append(undos, inj.inject(ctx)...)
		}
		wait(ctx, minFault+time.Duration(inj.rnd.Int64N(int64(maxFault-minFault))))
		for _, undo := range undos {
			if err := undo(context.WithoutCancel(ctx)); err != nil {
				inj.log("removing a fault failed: %v", err)
			}
		}
		inj.mu.Lock()
		inj.faultSpans = append(inj.faultSpans, span{from, time.Now().Add(settleTime)})
		inj.mu.Unlock()
		wait(ctx, faultPause)
	}
}

// inject starts one random fault.
func (inj *injector) inject(ctx context.Context) []func(context.Context) error {
	name := inj.names[inj.rnd.IntN(len(inj.names))]
	inj.counts[name]++
	undo, err := faults[name](ctx, inj)
	if err != nil {
		inj.log("injecting fault %s failed: %v", name, err)
		return nil
	}
	return []func(context.Context) error{undo}
}

func wait(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// faultFree reports whether no fault was active between two times.
func (inj *injector) faultFree(from, to time.Time) bool {
	inj.mu.Lock()
	defer inj.mu.Unlock()
	return !slices.ContainsFunc(inj.faultSpans, func(s span) bool { return s.from.Before(to) && from.Before(s.to) })
}

// removeAll removes link faults and resumes paused processes, in case the
// removal of a fault failed.
func (inj *injector) removeAll(ctx context.Context) error {
	if err := inj.d.SetLinkFaults(ctx); err != nil {
		return err
	}
	for _, p := range inj.d.VMs {
		_ = inj.d.Node(p.Name).Resume()
		_ = inj.d.Backend(p.Name).Resume()
	}
	return nil
}

func (inj *injector) randomVM() deploy.VM { return inj.d.VMs[inj.rnd.IntN(len(inj.d.VMs))] }

func (inj *injector) randomZone() string {
	zones := inj.d.Fleet().Zones
	return zones[inj.rnd.IntN(len(zones))].Name
}

func noUndo(context.Context) error { return nil }

func killNode(_ context.Context, inj *injector) (func(context.Context) error, error) {
	p := inj.randomVM()
	inj.log("kill node %s", p.Name)
	return noUndo, inj.d.Node(p.Name).Kill()
}

func killBackend(_ context.Context, inj *injector) (func(context.Context) error, error) {
	p := inj.randomVM()
	inj.log("kill backend server %s", p.Name)
	return noUndo, inj.d.Backend(p.Name).Kill()
}

func freeze(inj *injector, what string, p *deploy.Process) (func(context.Context) error, error) {
	inj.log("freeze %s", what)
	return func(context.Context) error { return p.Resume() }, p.Pause()
}

func freezeNode(_ context.Context, inj *injector) (func(context.Context) error, error) {
	vm := inj.randomVM().Name
	return freeze(inj, "node "+vm, inj.d.Node(vm))
}

func freezeBackend(_ context.Context, inj *injector) (func(context.Context) error, error) {
	vm := inj.randomVM().Name
	return freeze(inj, "backend server "+vm, inj.d.Backend(vm))
}

func setLinkFault(ctx context.Context, inj *injector, f deploy.LinkFault) (func(context.Context) error, error) {
	f.From, f.To = inj.randomZone(), inj.randomZone()
	inj.log("link fault %+v", f)
	undo := func(ctx context.Context) error { return inj.d.SetLinkFaults(ctx) }
	return undo, inj.d.SetLinkFaults(ctx, f)
}

func cut(ctx context.Context, inj *injector) (func(context.Context) error, error) {
	return setLinkFault(ctx, inj, deploy.LinkFault{Cut: true})
}

func oneWayCut(ctx context.Context, inj *injector) (func(context.Context) error, error) {
	return setLinkFault(ctx, inj, deploy.LinkFault{Drop: true})
}

func silence(ctx context.Context, inj *injector) (func(context.Context) error, error) {
	return setLinkFault(ctx, inj, deploy.LinkFault{Silence: true})
}

func drain(ctx context.Context, inj *injector) (func(context.Context) error, error) {
	vm := inj.randomVM().Name
	inj.log("drain %s", vm)
	undo := func(ctx context.Context) error {
		return inj.d.SetBackend(ctx, vm, map[string]any{"state": "live"})
	}
	return undo, inj.d.SetBackend(ctx, vm, map[string]any{"state": "draining"})
}

func vmLeaving(ctx context.Context, inj *injector) (func(context.Context) error, error) {
	vm := inj.randomVM().Name
	inj.log("VM %s is listed as leaving", vm)
	undo := func(ctx context.Context) error { return inj.d.SetVM(ctx, vm, "live") }
	return undo, inj.d.SetVM(ctx, vm, "leaving")
}

func platformDown(ctx context.Context, inj *injector) (func(context.Context) error, error) {
	zone := inj.randomZone()
	inj.log("platform down for %s", zone)
	undo := func(ctx context.Context) error { return inj.d.SetPlatformFault(ctx, zone, deploy.PlatformFault{}) }
	return undo, inj.d.SetPlatformFault(ctx, zone, deploy.PlatformFault{Down: true})
}
