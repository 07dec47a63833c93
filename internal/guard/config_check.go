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
	// configWait is how long a request waits until the guard has the configuration it
	// was routed under. Fetching that needs two round trips.
	configWait = 300 * time.Millisecond
	// maxConfigWaiters bounds the requests that wait at a time.
	maxConfigWaiters = 256
	// staleRetryAfter is the Retry-After hint of a refusal. By then every reachable node
	// has received the new configuration.
	staleRetryAfter = time.Second
)

// fence refuses requests that were routed under another document of the service than
// the guard's. Without it, while the guard's and an entry's configurations differ, an
// at-most-once route could run as idempotent or a key could have two homes, and a
// caller's booking could run twice.
type fence struct {
	// onStale notifies the control loop of a node with a newer configuration.
	onStale atomic.Pointer[func(vm string)]
	waiting atomic.Int32
}

// OnStaleConfig sets the function that is called when a request shows that the node on
// a VM has a newer configuration in force. The function must not block.
func (g *Guard) OnStaleConfig(f func(vm string)) { g.fence.onStale.Store(&f) }

// checkConfig returns the View under which the request may run. If the guard's
// configuration is newer than the request's, it refuses the request. If it is older,
// it waits up to configWait for the newer one and refuses the request if that doesn't
// arrive. A request without a stamp is checked against the guard's own configuration
// only.
func (g *Guard) checkConfig(r *http.Request, v *pick.View) (*pick.View, *kind.Error) {
	text := r.Header.Get(headers.Config)
	if text == "" || sameDocument(v, r, text) {
		return v, nil
	}
	stamp, ok := config.ParseStamp(text)
	if !ok {
		return nil, kind.New(kind.StaleConfig, "the request's configuration stamp can't be parsed")
	}
	if stamp.Newer(v.Config) {
		v = g.catchUp(r, stamp, v)
	}
	if sameDocument(v, r, text) {
		return v, nil
	}
	e := kind.New(kind.StaleConfig, "routed under revision %d, while %d is in force here",
		stamp.Version.Revision, v.Config.Index.Version.Revision)
	e.RetryAfter = staleRetryAfter
	return nil, e
}

// sameDocument reports whether the guard has the document that a stamp starts with.
func sameDocument(v *pick.View, r *http.Request, stamp string) bool {
	svc := v.Config.Services[r.Header.Get(headers.Service)]
	if svc == nil {
		return false
	}
	tag := svc.Tag()
	return len(stamp) >= len(tag) && stamp[:len(tag)] == tag
}

// catchUp waits up to configWait for a configuration as new as the stamp's. It returns
// v if none arrives.
func (g *Guard) catchUp(r *http.Request, stamp config.Stamp, v *pick.View) *pick.View {
	if f := g.fence.onStale.Load(); f != nil {
		(*f)(stamp.VM)
	}
	if g.fence.waiting.Add(1) > maxConfigWaiters {
		g.fence.waiting.Add(-1)
		return v
	}
	defer g.fence.waiting.Add(-1)
	ctx, cancel := context.WithTimeout(r.Context(), min(configWait, remainingTime(r)))
	defer cancel()
	if next := g.view.Wait(ctx, func(v *pick.View) bool { return !stamp.Newer(v.Config) }); next != nil {
		return next
	}
	return v
}
