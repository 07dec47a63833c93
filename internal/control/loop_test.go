package control_test

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

	"github.com/limpetdock/limpetdock/internal/attempt"
	"github.com/limpetdock/limpetdock/internal/control"
	"github.com/limpetdock/limpetdock/internal/core"
	"github.com/limpetdock/limpetdock/internal/link"
	"github.com/limpetdock/limpetdock/internal/pick"
	"github.com/limpetdock/limpetdock/internal/platform"
	"github.com/limpetdock/limpetdock/internal/virtualtime"
	"github.com/limpetdock/limpetdock/internal/wire"
)

// hangingPlatform never answers.
type hangingPlatform struct{ waiting, most atomic.Int32 }

func (h *hangingPlatform) wait(ctx context.Context) error {
	now := h.waiting.Add(1)
	defer h.waiting.Add(-1)
	h.most.Store(max(h.most.Load(), now))
	<-ctx.Done()
	return ctx.Err()
}

func (h *hangingPlatform) Read(ctx context.Context, _ string) (platform.Value, error) {
	return platform.Value{}, h.wait(ctx)
}

func (h *hangingPlatform) Watch(ctx context.Context, _ string, _ uint64) (platform.Value, error) {
	return platform.Value{}, h.wait(ctx)
}

func (h *hangingPlatform) WatchVMs(ctx context.Context, _ uint64) (platform.VMList, error) {
	return platform.VMList{}, h.wait(ctx)
}

// stubNode is a stub of the guard and the entry.
type stubNode struct{ leaving atomic.Bool }

func (*stubNode) Tick() uint64                 { return 0 }
func (q *stubNode) SetLeaving(leaving bool)    { q.leaving.Store(leaving) }
func (*stubNode) SetView(*pick.View)           {}
func (*stubNode) Seal(*wire.Seal) *wire.Sealed { return &wire.Sealed{} }

func (*stubNode) AnswerProbe(string) *wire.Load       { return nil }
func (*stubNode) ConfirmListed(string, time.Duration) {}
func (*stubNode) HandleMembers([]wire.Member)         {}
func (*stubNode) Beat()                               {}

func (*stubNode) HandoverSize() (int, time.Duration, bool) { return 0, 0, false }
func (*stubNode) SealKeys() (*attempt.KeyTable, bool)      { return nil, false }
func (*stubNode) NeedsKeys() bool                          { return false }
func (*stubNode) RestoreKeys(*attempt.KeyTable) bool       { return false }

func newLoop(p platform.Client, g *stubNode) *control.Loop {
	start := time.Now()
	return control.New(control.Config{
		State:    core.New(core.Self{Place: pick.Place{VM: "vm1", Zone: "z"}, Fleet: "test", Incarnation: 1}, 1),
		Platform: p, Peers: link.NewDialer(wire.Hello{}, &link.Counters{}), Guard: g, Entry: g, Log: logr.Discard(),
		Now: func() time.Duration { return time.Since(start) },
	})
}

// If the platform hangs, the control goroutine must continue to tick and answer, with
// at most one read of each key in flight, and must end on Stop.
func TestHangingPlatformDoesNotBlockLoop(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		p := &hangingPlatform{}
		l := newLoop(p, &stubNode{})
		l.Start()
		time.Sleep(time.Minute)
		_, ok := l.Dump()
		require.True(t, ok)
		require.LessOrEqual(t, p.most.Load(), int32(2))
		l.Stop()
		_, ok = l.Dump()
		require.False(t, ok, "Dump fails after Stop")
	})
}

// The first sign of leaving must reach the guard within a tick, and a tick in progress
// must not revert a stop.
func TestLeavingReachesGuardWithinOneTick(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		g := &stubNode{}
		l := newLoop(&hangingPlatform{}, g)
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

// A platform that immediately returns errors must not be read in a busy loop.
func TestFailingPlatformIsReadWithBackoff(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		p := &failingPlatform{}
		l := newLoop(p, &stubNode{})
		l.Start()
		time.Sleep(time.Minute)
		l.Stop()
		require.Less(t, p.calls.Load(), int32(2*20))
	})
}

type failingPlatform struct{ calls atomic.Int32 }

var errDown = errors.New("down")

func (f *failingPlatform) Read(context.Context, string) (platform.Value, error) {
	f.calls.Add(1)
	return platform.Value{}, errDown
}

func (f *failingPlatform) Watch(context.Context, string, uint64) (platform.Value, error) {
	f.calls.Add(1)
	return platform.Value{}, errDown
}

func (f *failingPlatform) WatchVMs(context.Context, uint64) (platform.VMList, error) {
	f.calls.Add(1)
	return platform.VMList{}, errDown
}
