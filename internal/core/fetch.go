package core

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/limpetdock/limpetdock/internal/config"
)

const (
	// maxHolders is the maximum number of peers remembered as holding a candidate.
	maxHolders = 4
	// maxDocumentFetches is the maximum number of concurrent document fetches.
	maxDocumentFetches = 4
	// holderWait is how long a node that doesn't watch the platform wait for a
	// peer that holds a candidate before it reads documents from the platform.
	holderWait = 500 * time.Millisecond
	// maxDocumentPause is the upper limit of the backoff after failed fetches.
	maxDocumentPause = 8 * time.Second
)

// candidate is an index whose documents are still being fetched.
type candidate struct {
	index *config.Index
	// holders are the control addresses of peers that have it in force.
	holders []string
	// everHeld is true if some peer had it in force, even if none can be asked now.
	everHeld bool
	retryAt  time.Duration
	// since is when the candidate was first seen.
	since    time.Duration
	failures int
}

// admit inserts a candidate in order. If there are too many, it drops the oldest
// candidate that no peer ever held, because such a version may never have been
// complete.
func (t *configTable) admit(c *candidate) {
	t.candidates = append(t.candidates, c)
	slices.SortFunc(t.candidates, func(a, b *candidate) int {
		if a.index.Version.Newer(b.index.Version) {
			return -1
		}
		return 1
	})
	if len(t.candidates) <= maxCandidates {
		return
	}
	drop := len(t.candidates) - 1
	for i := drop; i >= 0; i-- {
		if !t.candidates[i].everHeld {
			drop = i
			break
		}
	}
	t.candidates = slices.Delete(t.candidates, drop, drop+1)
}

// addHolder records a peer that has the candidate in force. For the first holder, the
// next fetch is due at once.
func (c *candidate) addHolder(addr string) {
	if addr == "" || slices.Contains(c.holders, addr) {
		return
	}
	c.everHeld = true
	if len(c.holders) == maxHolders {
		c.holders = slices.Delete(c.holders, 0, 1)
	}
	if len(c.holders) == 0 {
		c.retryAt = 0
	}
	c.holders = append(c.holders, addr)
}

// source returns the address to fetch the candidate's next document from: a random peer
// that has it in force, so that reads of the platform don't grow with the fleet, or
// empty for the platform if there is no such peer.
func (c *candidate) source(rnd *rand.Rand) string {
	if len(c.holders) == 0 {
		return ""
	}
	return c.holders[rnd.IntN(len(c.holders))]
}

// waitsForHolders reports whether a starting node wait for more holders. Otherwise the
// first holder to answer would send it the whole configuration. When a zone restarts,
// the same holder may be the first for many nodes and would exceed its control traffic
// budget.
func (s *State) waitsForHolders(c *candidate, now time.Duration) bool {
	return !s.joined && len(c.holders) < min(maxHolders, s.knownPeers()) && now < c.since+holderWait
}

// fetchDocuments requests the missing documents of a candidate, a few at a time, and
// activates the candidate once none is missing.
func (s *State) fetchDocuments(c *candidate, now time.Duration, out *commands) {
	t := &s.config
	missing, wait := 0, now < c.retryAt || s.waitsForHolders(c, now)
	for _, e := range c.index.Entries {
		if t.docs[e] != nil {
			continue
		}
		missing++
		if wait || t.fetching[e] || len(t.fetching) >= maxDocumentFetches {
			continue
		}
		t.fetching[e] = true
		out.add(FetchDocument{Entry: e, Peer: c.source(s.rnd)})
	}
	if missing == 0 {
		s.activate(c, now, out)
	}
}

// DocumentRead is the result of a FetchDocument.
type DocumentRead struct {
	Entry config.Entry
	// Peer is the address it was fetched from, empty for the platform.
	Peer string
	Text []byte
	Err  error
}

func (e DocumentRead) apply(s *State, now time.Duration, out *commands) {
	t := &s.config
	delete(t.fetching, e.Entry)
	needs := slices.DeleteFunc(slices.Clone(t.candidates), func(c *candidate) bool {
		return !slices.Contains(c.index.Entries, e.Entry)
	})
	if e.Err != nil || config.Digest(e.Text) != e.Entry.Digest {
		for _, c := range needs {
			s.retryLater(c, e.Peer, now)
		}
		return
	}
	if len(needs) == 0 {
		return
	}
	doc, err := config.ParseService(e.Entry, e.Text)
	for _, c := range needs {
		if err != nil {
			s.refuse(c.index.Version, err, out)
			continue
		}
		t.docs[e.Entry] = doc
		s.fetchDocuments(c, now, out)
	}
}

// retryLater handles a document that is missing, doesn't match its digest or can't be
// fetched, as when a change is partially published or a peer is unreachable. The peer
// is removed from the holders. After a failure of the platform, fetching pauses with
// backoff.
func (s *State) retryLater(c *candidate, peer string, now time.Duration) {
	c.holders = slices.DeleteFunc(c.holders, func(h string) bool { return h == peer })
	if peer != "" {
		return
	}
	c.failures++
	c.retryAt = now + s.jitter(backoff(c.failures, maxDocumentPause))
}

// backoff returns the pause after a number of consecutive failures, before jitter.
func backoff(failures int, limit time.Duration) time.Duration {
	const doublings = 10
	return min(limit, retryPause<<min(max(failures-1, 0), doublings))
}

// jitter returns d plus a random duration below d, so that nodes that failed at the
// same time don't retry at the same time.
func (s *State) jitter(d time.Duration) time.Duration {
	return d + time.Duration(s.rnd.Int64N(int64(d)))
}
