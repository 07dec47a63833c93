package pick

import "sync/atomic"

// roundRobin chooses the targets in turn. It is a baseline for comparisons.
type roundRobin struct{ turn atomic.Uint32 }

func (p *roundRobin) Choose(_ Draw, among []*Target) *Target {
	return among[int(p.turn.Add(1)%uint32(len(among)))]
}
