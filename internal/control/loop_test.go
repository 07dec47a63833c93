package control_test

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

	"github.com/limpetdock/limpetdock/internal/attempt"
	"github.com/limpetdock/limpetdock/internal/control"
	"github.com/limpetdock/limpetdock/internal/core"
	"github.com/limpetdock/limpetdock/internal/link"
	"github.com/limpetdock/limpetdock/internal/pick"
	"github.com/limpetdock/limpetdock/internal/platform"
	"github.com/limpetdock/limpetdock/internal/wire"
)

// hanging is a platform that never answers.
type hanging struct{ waiting, most atomic.Int32 }

func (h *hanging) wait(ctx context.Context) error {
	now := h.waiting.Add(1)
	defer h.waiting.Add(-1)
	h.most.Store(max(h.most.Load(), now))
	<-ctx.Done()
	return ctx.Err()
}

func (h *hanging) Read(ctx context.Context, _ string) (platform.Value, error) {
	return platform.Value{}, h.wait(ctx)
}

func (h *hanging) Watch(ctx context.Context, _ string, _ uint64) (platform.Value, error) {
	return platform.Value{}, h.wait(ctx)
}

func (h *hanging) WatchVMs(ctx context.Context, _ uint64) (platform.VMList, error) {
	return platform.VMList{}, h.wait(ctx)
}

// quiet stands in for guard and entry.
type quiet struct{ leaving atomic.Bool }

func (*quiet) Tick() uint64                 { return 0 }
func (q *quiet) SetLeaving(leaving bool)    { q.leaving.Store(leaving) }
func (*quiet) SetView(*pick.View)           {}
func (*quiet) Seal(*wire.Seal) *wire.Sealed { return &wire.Sealed{} }

func (*quiet) Probed(string) *wire.Load     { return nil }
func (*quiet) Listed(string, time.Duration) {}
func (*quiet) Heard([]wire.Member)          {}
func (*quiet) Beat()                        {}

func (*quiet) KeysToHand() (int, time.Duration, bool) { return 0, 0, false }
func (*quiet) SealKeys() (*attempt.KeyTable, bool)    { return nil, false }
func (*quiet) WantsKeys() bool                        { return false }
func (*quiet) TakeKeys(*attempt.KeyTable) bool        { return false }

func newLoop(p platform.Client, g *quiet) *control.Loop {
	start := time.Now()
	return control.New(control.Config{
		State:    core.New(core.Self{Place: pick.Place{VM: "vm1", Zone: "z"}, Fleet: "test", Incarnation: 1}, 1),
		Platform: p, Peers: link.NewDialer(wire.Hello{}, &link.Counters{}), Guard: g, Entry: g, Log: logr.Discard(),
		Now: func() time.Duration { return time.Since(start) },
	})
}

// The platform hangs: the control goroutine must go on ticking and answering,
// with no more than one read of each key under way, and must end when told to.
func TestAHangingPlatformHoldsUpNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &hanging{}
		l := newLoop(p, &quiet{})
		l.Start()
		time.Sleep(time.Minute)
		_, ok := l.Dump()
		require.True(t, ok)
		require.LessOrEqual(t, p.most.Load(), int32(2))
		l.Stop()
		_, ok = l.Dump()
		require.False(t, ok, "nothing is asked after the end")
	})
}

// The first sign of leaving must reach the guard within a tick, and a stop must
// not be taken back by a tick that was under way.
func TestTheGuardIsToldWithinATick(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := &quiet{}
		l := newLoop(&hanging{}, g)
		l.Start()
		defer l.Stop()
		time.Sleep(time.Second)
		require.False(t, g.leaving.Load())
		l.SetBackend(core.BackendDraining)
		time.Sleep(51 * time.Millisecond)
		require.True(t, g.leaving.Load())
		l.SetBackend(core.BackendLive)
		time.Sleep(51 * time.Millisecond)
		require.False(t, g.leaving.Load())
		l.SetStopping()
		time.Sleep(51 * time.Millisecond)
		require.True(t, g.leaving.Load())
	})
}

// A platform that answers with errors at once must not be read in a hot loop.
func TestAFailingPlatformIsReadRarely(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &failing{}
		l := newLoop(p, &quiet{})
		l.Start()
		time.Sleep(time.Minute)
		l.Stop()
		require.Less(t, p.calls.Load(), int32(2*20))
	})
}

type failing struct{ calls atomic.Int32 }

var errDown = errors.New("down")

func (f *failing) Read(context.Context, string) (platform.Value, error) {
	f.calls.Add(1)
	return platform.Value{}, errDown
}

func (f *failing) Watch(context.Context, string, uint64) (platform.Value, error) {
	f.calls.Add(1)
	return platform.Value{}, errDown
}

func (f *failing) WatchVMs(context.Context, uint64) (platform.VMList, error) {
	f.calls.Add(1)
	return platform.VMList{}, errDown
}
