package reader

import (
	"sync"
	"time"
)

// lagTracker measures how long a node has been lagging behind the store revisions that
// other nodes report. Safe for concurrent use.
type lagTracker struct {
	mu sync.Mutex
	// missing is the revision that the node lacks, and since is when another node first
	// reported it.
	missing uint64
	since   time.Duration
}

// reported records a revision reported by another node. It must be newer than known, the
// node's own revision.
func (t *lagTracker) reported(revision, known uint64, now time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.missing <= known {
		t.missing, t.since = revision, now
	}
}

// duration returns how long a reported revision has been missing, or 0 if none is missing.
func (t *lagTracker) duration(known uint64, now time.Duration) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.missing <= known {
		return 0
	}
	return now - t.since
}
