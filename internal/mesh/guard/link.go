package guard

import (
	"math/rand/v2"
	"time"

	"github.com/limpetdock/limpetdock/internal/kind"
	"github.com/limpetdock/limpetdock/internal/mesh"
)

// linkRetrySpread is the longest random time that is added to the Retry-After of a request that the
// link has no room for, so that callers that are refused together don't retry together.
const linkRetrySpread = 200 * time.Millisecond

// RefuseBulk returns the refusal of a request while too many bytes wait for the node's link, or nil
// if its answer isn't expected to be large. wait is the time until there is room.
func (g *Guard) RefuseBulk(r *mesh.Request, wait time.Duration) *kind.Error {
	v := g.view.Load()
	if v == nil {
		return nil
	}
	s := &requestState{request: r, start: g.Now()}
	route := s.route(v)
	if route == nil || !route.Bulk {
		return nil
	}
	e := kind.New(kind.Overloaded, "too many bytes wait for the link of the target's node")
	e.Outcome = kind.NotRun
	e.Wait, e.RetryAfter = wait, wait+rand.N(linkRetrySpread)
	g.record(s, nil, e)
	return e
}
