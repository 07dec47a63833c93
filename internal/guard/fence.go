package guard

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/limpetdock/limpetdock/internal/config"
	"github.com/limpetdock/limpetdock/internal/headers"
	"github.com/limpetdock/limpetdock/internal/kind"
	"github.com/limpetdock/limpetdock/internal/pick"
)

const (
	// fenceWait is how long a request waits for the guard to catch up with the
	// configuration it was routed under. Fetching that takes two round trips.
	fenceWait = 300 * time.Millisecond
	// fenceRoom bounds the requests that wait at a time.
	fenceRoom = 256
	// fenceRetry is the hint to a caller that is refused: by then every node
	// that can hear of the new configuration has.
	fenceRetry = time.Second
)

// fence keeps requests out that were routed under another document of the
// service than the guard's. Without it a guard and an entry that lag behind one
// another could run an at-most-once route as idempotent, or find two homes for
// one key: the caller would see a booking run twice.
type fence struct {
	// behind tells the control side of a node with a newer configuration.
	behind  atomic.Pointer[func(vm string)]
	waiting atomic.Int32
}

// OnBehind sets what is called, without waiting, when a request shows that the
// node on a VM has a newer configuration in force.
func (g *Guard) OnBehind(f func(vm string)) { g.fence.behind.Store(&f) }

// fenced gives the View under which the request may run. A guard with a newer
// configuration than the request's refuses it; one with an older catches up
// first, and refuses what that takes too long for. A request without a stamp
// names no configuration and is checked against the guard's own alone.
func (g *Guard) fenced(r *http.Request, v *pick.View) (*pick.View, *kind.Error) {
	text := r.Header.Get(headers.Config)
	if text == "" || sameDocument(v, r, text) {
		return v, nil
	}
	stamp, ok := config.ParseStamp(text)
	if !ok {
		return nil, kind.New(kind.StaleConfig, "the request's configuration can't be read")
	}
	if stamp.Newer(v.Config) {
		v = g.catchUp(r, stamp, v)
	}
	if sameDocument(v, r, text) {
		return v, nil
	}
	e := kind.New(kind.StaleConfig, "routed under revision %d, while %d is in force here",
		stamp.Version.Revision, v.Config.Index.Version.Revision)
	e.RetryAfter = fenceRetry
	return nil, e
}

// sameDocument says whether the guard has the document that a stamp starts with.
func sameDocument(v *pick.View, r *http.Request, stamp string) bool {
	svc := v.Config.Services[r.Header.Get(headers.Service)]
	if svc == nil {
		return false
	}
	tag := svc.Tag()
	return len(stamp) >= len(tag) && stamp[:len(tag)] == tag
}

// catchUp waits a little for a configuration as new as the stamp's.
func (g *Guard) catchUp(r *http.Request, stamp config.Stamp, v *pick.View) *pick.View {
	if f := g.fence.behind.Load(); f != nil {
		(*f)(stamp.VM)
	}
	if g.fence.waiting.Add(1) > fenceRoom {
		g.fence.waiting.Add(-1)
		return v
	}
	defer g.fence.waiting.Add(-1)
	ctx, cancel := context.WithTimeout(r.Context(), min(fenceWait, timeLeft(r)))
	defer cancel()
	if next := g.view.Wait(ctx, func(v *pick.View) bool { return !stamp.Newer(v.Config) }); next != nil {
		return next
	}
	return v
}
