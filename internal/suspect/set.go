package suspect

import (
	"math/rand/v2"
	"time"
)

// Set holds the suspects by fingerprint for traffic goroutines. It is immutable.
type Set map[uint64]Entry

// Entry is a row of a Set.
type Entry struct {
	Level Level
	// Until is the time since the node's start at which the block ends or the row expires.
	Until time.Duration
	// OnTrial is true for a suspect whose block has ended.
	OnTrial bool
	// Open is true for a request with deaths that restrict nothing yet: a completed run clears them.
	Open bool
}

// At returns the entry as it stands at a time since the node's start. Traffic goroutines call it, as
// a Set isn't renewed when a block ends.
func (e Entry) At(now time.Duration) Entry {
	switch {
	case now < e.Until:
		return e
	case e.Level == Blocked:
		return Entry{Level: Suspected, Until: e.Until, OnTrial: true}
	}
	return Entry{}
}

// TrialDelay is a node's delay between the end of a block and its first trial.
type TrialDelay time.Duration

// NewTrialDelay draws the delay of one node.
func NewTrialDelay() TrialDelay { return TrialDelay(rand.N(trialSpread)) }

// BlockedFor returns for how much longer a node refuses the request, or 0 if it may run.
func (d TrialDelay) BlockedFor(e Entry, now time.Duration) time.Duration {
	if e.Level != Blocked && !e.OnTrial {
		return 0
	}
	return max(e.Until+time.Duration(d)-now, 0)
}
