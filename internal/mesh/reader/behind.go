package reader

import (
	"sync"
	"time"
)

// behind measures how long a node has been behind what others told it. Safe for
// concurrent use.
type behind struct {
	mu sync.Mutex
	// due is the revision that is missing, and since is when another node first told of it.
	due   uint64
	since time.Duration
}

// heard takes another node's revision, which is newer than the own one.
func (b *behind) heard(revision, known uint64, now time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.due <= known {
		b.due, b.since = revision, now
	}
}

// lasting gives for how long the revision that is due has been missing.
func (b *behind) lasting(known uint64, now time.Duration) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.due <= known {
		return 0
	}
	return now - b.since
}
