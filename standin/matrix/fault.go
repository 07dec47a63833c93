package matrix

import (
	"context"
	"syscall"

	"github.com/limpetdock/limpetdock/fleet"
	"github.com/limpetdock/limpetdock/standin/deploy"
)

// undo removes a fault.
type undo func(context.Context) error

func noUndo(context.Context) error { return nil }

const gracefulStop = "graceful stop"

// fault is a fault injected at the VM that has the request of a cell.
type fault struct {
	name   string
	inject func(ctx context.Context, w *worker, vm string) (undo, error)
	// leaves is true if the VM drains: it gets no new requests and finishes those
	// in flight.
	leaves bool
	// readsServed is true if a read must be served in spite of the fault.
	readsServed bool
	// notApplicable is the reason why the fault applies at no step, if set. onlyAt
	// limits the fault to one step, if set.
	notApplicable string
	onlyAt        Step
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
	return fault{notApplicable: "no such fault"}
}

var faults = []fault{
	{name: "slow down", inject: backendSet(map[string]any{"service_ms": 300}, map[string]any{"service_ms": 2}), readsServed: true},
	{name: "drain", inject: backendSet(map[string]any{"state": "draining"}, map[string]any{"state": "live"}), leaves: true, readsServed: true},
	{name: "listed as leaving", inject: listLeaving, leaves: true, readsServed: true},
	{name: gracefulStop, inject: stopNode, leaves: true, readsServed: true},
	{name: "fail fast", inject: backendSet(map[string]any{"fail_fast": true}, map[string]any{"fail_fast": false})},
	{name: "crash", inject: killBackend, readsServed: true},
	{name: "process killed", inject: killNode, readsServed: true},
	{name: "frozen, woken late", inject: freezeNode, readsServed: true},
	{name: "platform down", inject: platform(deploy.PlatformFault{Down: true}), readsServed: true},
	{name: "platform stale", inject: platform(deploy.PlatformFault{FrozenAt: 1}), readsServed: true},
	{name: "partition", inject: cutLink},
	{name: "one-way cut", inject: oneWay},
	{name: "silent connection", inject: silence, readsServed: true},
	{name: "killing request", inject: injectNothing, onlyAt: Running},
	{name: "operator race", inject: publishConflict, readsServed: true},
	{name: "clock jump", notApplicable: "no clock of the machine enters a decision but to notice that it stood still; the core takes time as an argument"},
}

func injectNothing(context.Context, *worker, string) (undo, error) { return noUndo, nil }

func backendSet(faulty, normal map[string]any) func(context.Context, *worker, string) (undo, error) {
	return func(ctx context.Context, w *worker, vm string) (undo, error) {
		back := func(ctx context.Context) error { return w.d.SetBackend(ctx, vm, normal) }
		return back, w.d.SetBackend(ctx, vm, faulty)
	}
}

func listLeaving(ctx context.Context, w *worker, vm string) (undo, error) {
	back := func(ctx context.Context) error { return w.d.SetVM(ctx, vm, "live") }
	return back, w.d.SetVM(ctx, vm, "leaving")
}

func stopNode(_ context.Context, w *worker, vm string) (undo, error) {
	return noUndo, w.d.Node(vm).Signal(syscall.SIGTERM)
}

func killBackend(_ context.Context, w *worker, vm string) (undo, error) {
	return noUndo, w.d.Backend(vm).Kill()
}

func killNode(_ context.Context, w *worker, vm string) (undo, error) {
	return noUndo, w.d.Node(vm).Kill()
}

func freezeNode(_ context.Context, w *worker, vm string) (undo, error) {
	p := w.d.Node(vm)
	return func(context.Context) error { return p.Resume() }, p.Pause()
}

func platform(f deploy.PlatformFault) func(context.Context, *worker, string) (undo, error) {
	return func(ctx context.Context, w *worker, _ string) (undo, error) {
		back := func(ctx context.Context) error { return w.d.SetPlatformFault(ctx, w.zone, deploy.PlatformFault{}) }
		return back, w.d.SetPlatformFault(ctx, w.zone, f)
	}
}

func cutLink(ctx context.Context, w *worker, _ string) (undo, error) {
	return w.links.add(ctx, deploy.LinkFault{From: frontZone, To: w.zone, Cut: true})
}

func oneWay(ctx context.Context, w *worker, _ string) (undo, error) {
	return w.links.add(ctx, deploy.LinkFault{From: w.zone, To: frontZone, Drop: true})
}

func silence(ctx context.Context, w *worker, _ string) (undo, error) {
	return w.links.add(ctx, deploy.LinkFault{From: frontZone, To: w.zone, Silence: true})
}

// publishConflict publishes two different configurations with the same revision,
// as two operators who don't coordinate would.
func publishConflict(ctx context.Context, w *worker, _ string) (undo, error) {
	conflictMu.Lock()
	defer conflictMu.Unlock()
	next := w.d.Fleet().Revision + 1
	first, second := Fleet(next), Fleet(next)
	first.Services[0].Hops = fleet.DefaultHops + 1
	second.Services[0].Hops = fleet.DefaultHops + 2
	if err := w.d.Publish(ctx, first); err != nil {
		return nil, err
	}
	return noUndo, w.d.Publish(ctx, second)
}
