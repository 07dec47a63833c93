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
	// A fault lasts from shortest to longest; calm follows it.
	shortest = 300 * time.Millisecond
	longest  = 2 * time.Second
	calmFor  = 2000 * time.Millisecond
	// settle is how long after a fault a request still counts as hit by it.
	settle = 1000 * time.Millisecond
)

// fault breaks something and gives back how to mend it.
type fault func(ctx context.Context, b *breaker) (mend func(context.Context) error, err error)

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

// span is a time during which something was broken.
type span struct{ from, to time.Time }

// breaker breaks the deployment at random, one or two faults at a time.
type breaker struct {
	d      *deploy.Deployment
	rnd    *rand.Rand
	log    func(string, ...any)
	names  []string
	counts map[string]int
	mu     sync.Mutex
	spans  []span
}

func newBreaker(d *deploy.Deployment, opts Options) *breaker {
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
	return &breaker{d: d, rnd: rand.New(rand.NewPCG(opts.Seed, 0)), log: log, names: names, counts: map[string]int{}}
}

// run breaks and mends until ctx ends.
func (b *breaker) run(ctx context.Context) {
	for ctx.Err() == nil {
		from := time.Now()
		mends := b.strike(ctx)
		if b.rnd.IntN(4) == 0 {
			mends = append(mends, b.strike(ctx)...)
		}
		wait(ctx, shortest+time.Duration(b.rnd.Int64N(int64(longest-shortest))))
		for _, mend := range mends {
			if err := mend(context.WithoutCancel(ctx)); err != nil {
				b.log("mending failed: %v", err)
			}
		}
		b.mu.Lock()
		b.spans = append(b.spans, span{from, time.Now().Add(settle)})
		b.mu.Unlock()
		wait(ctx, calmFor)
	}
}

// strike starts one random fault.
func (b *breaker) strike(ctx context.Context) []func(context.Context) error {
	name := b.names[b.rnd.IntN(len(b.names))]
	b.counts[name]++
	mend, err := faults[name](ctx, b)
	if err != nil {
		b.log("%s failed: %v", name, err)
		return nil
	}
	return []func(context.Context) error{mend}
}

func wait(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// calm says whether nothing was broken between two times.
func (b *breaker) calm(from, to time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return !slices.ContainsFunc(b.spans, func(s span) bool { return s.from.Before(to) && from.Before(s.to) })
}

// mendAll takes back whatever may still be broken.
func (b *breaker) mendAll(ctx context.Context) error {
	if err := b.d.SetLinks(ctx); err != nil {
		return err
	}
	for _, p := range b.d.Places {
		_ = b.d.Node(p.VM).Thaw()
		_ = b.d.Backend(p.VM).Thaw()
	}
	return nil
}

func (b *breaker) place() deploy.Place { return b.d.Places[b.rnd.IntN(len(b.d.Places))] }

func (b *breaker) zone() string {
	zones := b.d.Fleet().Zones
	return zones[b.rnd.IntN(len(zones))].Name
}

func nothing(context.Context) error { return nil }

func killNode(_ context.Context, b *breaker) (func(context.Context) error, error) {
	p := b.place()
	b.log("kill node %s", p.VM)
	return nothing, b.d.Node(p.VM).Kill()
}

func killBackend(_ context.Context, b *breaker) (func(context.Context) error, error) {
	p := b.place()
	b.log("kill backend server %s", p.VM)
	return nothing, b.d.Backend(p.VM).Kill()
}

func freeze(b *breaker, what string, p *deploy.Process) (func(context.Context) error, error) {
	b.log("freeze %s", what)
	return func(context.Context) error { return p.Thaw() }, p.Freeze()
}

func freezeNode(_ context.Context, b *breaker) (func(context.Context) error, error) {
	vm := b.place().VM
	return freeze(b, "node "+vm, b.d.Node(vm))
}

func freezeBackend(_ context.Context, b *breaker) (func(context.Context) error, error) {
	vm := b.place().VM
	return freeze(b, "backend server "+vm, b.d.Backend(vm))
}

func links(ctx context.Context, b *breaker, f deploy.LinkFault) (func(context.Context) error, error) {
	f.From, f.To = b.zone(), b.zone()
	b.log("links %+v", f)
	mend := func(ctx context.Context) error { return b.d.SetLinks(ctx) }
	return mend, b.d.SetLinks(ctx, f)
}

func cut(ctx context.Context, b *breaker) (func(context.Context) error, error) {
	return links(ctx, b, deploy.LinkFault{Cut: true})
}

func oneWayCut(ctx context.Context, b *breaker) (func(context.Context) error, error) {
	return links(ctx, b, deploy.LinkFault{Drop: true})
}

func silence(ctx context.Context, b *breaker) (func(context.Context) error, error) {
	return links(ctx, b, deploy.LinkFault{Silence: true})
}

func drain(ctx context.Context, b *breaker) (func(context.Context) error, error) {
	vm := b.place().VM
	b.log("drain %s", vm)
	mend := func(ctx context.Context) error {
		return b.d.SetBackend(ctx, vm, map[string]any{"state": "live"})
	}
	return mend, b.d.SetBackend(ctx, vm, map[string]any{"state": "draining"})
}

func vmLeaving(ctx context.Context, b *breaker) (func(context.Context) error, error) {
	vm := b.place().VM
	b.log("VM %s is listed as leaving", vm)
	mend := func(ctx context.Context) error { return b.d.SetVM(ctx, vm, "live") }
	return mend, b.d.SetVM(ctx, vm, "leaving")
}

func platformDown(ctx context.Context, b *breaker) (func(context.Context) error, error) {
	zone := b.zone()
	b.log("platform down for %s", zone)
	mend := func(ctx context.Context) error { return b.d.SetPlatform(ctx, zone, deploy.PlatformFault{}) }
	return mend, b.d.SetPlatform(ctx, zone, deploy.PlatformFault{Down: true})
}
