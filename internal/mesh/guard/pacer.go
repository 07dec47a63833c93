package guard

import (
	"sync"
	"time"
)

// pacer paces the gate by the limit for a cold backend server and by the one that the backend
// server names. The guard is its only caller, so both hold for the whole deployment. Safe for
// concurrent use.
type pacer struct {
	g *Guard
	// mu makes taking a permit of both limits one step.
	mu sync.Mutex
}

// Permit takes a permit of both limits.
func (p *pacer) Permit() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.g.Now()
	if !p.g.limit.Ready(now) || !p.g.permitCold() {
		return false
	}
	p.g.limit.Take(now)
	return true
}

// NextPermit returns the time until both limits have a permit.
func (p *pacer) NextPermit() time.Duration {
	now := p.g.Now()
	return max(p.g.cold.NextPermit(now), p.g.limit.NextPermit(now))
}

// ExpectedWait returns how long the n-th request from now is expected to wait.
func (p *pacer) ExpectedWait(n int) time.Duration {
	named := p.g.limit.NextPermit(p.g.Now()) + p.g.limit.Interval()*time.Duration(n-1)
	return max(p.g.expectedColdWait(n), named)
}
