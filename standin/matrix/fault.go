package matrix

import (
	"context"
	"syscall"

	"github.com/limpetdock/limpetdock/fleet"
	"github.com/limpetdock/limpetdock/standin/deploy"
)

// mend takes a fault back.
type mend func(context.Context) error

func nothing(context.Context) error { return nil }

const gracefulStop = "graceful stop"

// fault breaks something for the VM that has the request of a cell.
type fault struct {
	name   string
	strike func(ctx context.Context, w *worker, vm string) (mend, error)
	// leaves says that the VM leaves: it gets no new work and finishes what it has.
	leaves bool
	// harmless says that a read must be served nevertheless.
	harmless bool
	// never says why the fault applies at no step, and only limits it to one.
	never string
	only  Step
}

// Faults lists the names of all faults in order.
func Faults() []string {
	names := make([]string, len(faults))
	for i, f := range faults {
		names[i] = f.name
	}
	return names
}

func faultNamed(name string) fault {
	for _, f := range faults {
		if f.name == name {
			return f
		}
	}
	return fault{never: "no such fault"}
}

var faults = []fault{
	{name: "slow down", strike: backendSet(map[string]any{"service_ms": 300}, map[string]any{"service_ms": 2}), harmless: true},
	{name: "drain", strike: backendSet(map[string]any{"state": "draining"}, map[string]any{"state": "live"}), leaves: true, harmless: true},
	{name: "listed as leaving", strike: listLeaving, leaves: true, harmless: true},
	{name: gracefulStop, strike: stopNode, leaves: true, harmless: true},
	{name: "fail fast", strike: backendSet(map[string]any{"fail_fast": true}, map[string]any{"fail_fast": false})},
	{name: "crash", strike: killBackend, harmless: true},
	{name: "process killed", strike: killNode, harmless: true},
	{name: "frozen, woken late", strike: freezeNode, harmless: true},
	{name: "platform down", strike: platform(deploy.PlatformFault{Down: true}), harmless: true},
	{name: "platform stale", strike: platform(deploy.PlatformFault{FrozenAt: 1}), harmless: true},
	{name: "partition", strike: cutLink},
	{name: "one-way cut", strike: oneWay},
	{name: "silent connection", strike: silence, harmless: true},
	{name: "killing request", strike: noStrike, only: Running},
	{name: "operator race", strike: race, harmless: true},
	{name: "clock jump", never: "no clock of the machine enters a decision but to notice that it stood still; the core takes time as an argument"},
}

func noStrike(context.Context, *worker, string) (mend, error) { return nothing, nil }

func backendSet(broken, mended map[string]any) func(context.Context, *worker, string) (mend, error) {
	return func(ctx context.Context, w *worker, vm string) (mend, error) {
		back := func(ctx context.Context) error { return w.d.SetBackend(ctx, vm, mended) }
		return back, w.d.SetBackend(ctx, vm, broken)
	}
}

func listLeaving(ctx context.Context, w *worker, vm string) (mend, error) {
	back := func(ctx context.Context) error { return w.d.SetVM(ctx, vm, "live") }
	return back, w.d.SetVM(ctx, vm, "leaving")
}

func stopNode(_ context.Context, w *worker, vm string) (mend, error) {
	return nothing, w.d.Node(vm).Signal(syscall.SIGTERM)
}

func killBackend(_ context.Context, w *worker, vm string) (mend, error) {
	return nothing, w.d.Backend(vm).Kill()
}

func killNode(_ context.Context, w *worker, vm string) (mend, error) {
	return nothing, w.d.Node(vm).Kill()
}

func freezeNode(_ context.Context, w *worker, vm string) (mend, error) {
	p := w.d.Node(vm)
	return func(context.Context) error { return p.Thaw() }, p.Freeze()
}

func platform(f deploy.PlatformFault) func(context.Context, *worker, string) (mend, error) {
	return func(ctx context.Context, w *worker, _ string) (mend, error) {
		back := func(ctx context.Context) error { return w.d.SetPlatform(ctx, w.zone, deploy.PlatformFault{}) }
		return back, w.d.SetPlatform(ctx, w.zone, f)
	}
}

func cutLink(ctx context.Context, w *worker, _ string) (mend, error) {
	return w.links.add(ctx, deploy.LinkFault{From: frontZone, To: w.zone, Cut: true})
}

func oneWay(ctx context.Context, w *worker, _ string) (mend, error) {
	return w.links.add(ctx, deploy.LinkFault{From: w.zone, To: frontZone, Drop: true})
}

func silence(ctx context.Context, w *worker, _ string) (mend, error) {
	return w.links.add(ctx, deploy.LinkFault{From: frontZone, To: w.zone, Silence: true})
}

// race publishes two different configurations of one revision, one after the
// other, as two operators who don't know of each other would.
func race(ctx context.Context, w *worker, _ string) (mend, error) {
	raceMu.Lock()
	defer raceMu.Unlock()
	next := w.d.Fleet().Revision + 1
	first, second := Fleet(next), Fleet(next)
	first.Services[0].Hops = fleet.DefaultHops + 1
	second.Services[0].Hops = fleet.DefaultHops + 2
	if err := w.d.Publish(ctx, first); err != nil {
		return nil, err
	}
	return nothing, w.d.Publish(ctx, second)
}
