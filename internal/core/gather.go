package core

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/limpetdock/limpetdock/internal/config"
)

const (
	// maxHolders bounds the peers remembered as holding a candidate.
	maxHolders = 4
	// documentsAtOnce bounds the documents being fetched at a time.
	documentsAtOnce = 4
	// holderWait is how long a node that doesn't watch the platform waits for a
	// peer that holds a candidate before it reads documents from the platform.
	holderWait = 500 * time.Millisecond
	// maxDocumentPause bounds the growing pause after failed fetches.
	maxDocumentPause = 8 * time.Second
)

// candidate is an index whose documents are still being fetched.
type candidate struct {
	index *config.Index
	// holders are control addresses of peers that have it in force.
	holders []string
	// everHeld says that some peer had it in force, even if none can be asked now.
	everHeld bool
	retryAt  time.Duration
	// since is when the candidate was first seen.
	since    time.Duration
	failures int
}

// admit adds a candidate in its place. When there are too many, the lowest
// that no peer holds goes first: nothing shows that it was ever whole.
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

// held remembers a peer that has the candidate in force, and asks it at once.
func (c *candidate) held(addr string) {
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

// source is where the candidate's next document is fetched: a peer that has it
// in force, so that the platform's reads don't grow with the fleet, else the platform.
func (c *candidate) source(rnd *rand.Rand) string {
	if len(c.holders) == 0 {
		return ""
	}
	return c.holders[rnd.IntN(len(c.holders))]
}

// awaits says whether a node that has just started waits for more holders. The
// first one to answer would give it the whole configuration; where a
// zone restarts at once, some holder is the first for many and would send more than
// its share of control bytes.
func (s *State) awaits(c *candidate, now time.Duration) bool {
	return !s.joined && len(c.holders) < min(maxHolders, s.knownPeers()) && now < c.since+holderWait
}

// gather asks for documents that aren't held yet, a few at a time; with all of
// them held the configuration is put in force.
func (s *State) gather(c *candidate, now time.Duration, out *commands) {
	t := &s.config
	missing, waits := 0, now < c.retryAt || s.awaits(c, now)
	for _, e := range c.index.Entries {
		if t.docs[e] != nil {
			continue
		}
		missing++
		if waits || t.fetching[e] || len(t.fetching) >= documentsAtOnce {
			continue
		}
		t.fetching[e] = true
		out.add(FetchDocument{Entry: e, Peer: c.source(s.rnd)})
	}
	if missing == 0 {
		s.enforce(c, now, out)
	}
}

// DocumentRead is the result of a FetchDocument.
type DocumentRead struct {
	Entry config.Entry
	// Peer is where it was fetched, empty for the platform.
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
			s.postpone(c, e.Peer, now)
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
		s.gather(c, now, out)
	}
}

// postpone follows a document that is missing, doesn't match or can't be
// fetched, as when a change is half published or a peer has vanished: that
// peer isn't asked again, another source is, after a growing pause.
func (s *State) postpone(c *candidate, peer string, now time.Duration) {
	c.holders = slices.DeleteFunc(c.holders, func(h string) bool { return h == peer })
	if peer != "" {
		return
	}
	c.failures++
	c.retryAt = now + s.jitter(backoff(c.failures, maxDocumentPause))
}

// backoff gives the pause after a number of failures in a row, before jitter.
func backoff(failures int, limit time.Duration) time.Duration {
	const doublings = 10
	return min(limit, retryPause<<min(max(failures-1, 0), doublings))
}

// jitter adds a random part of as much again, so that nodes which failed
// together don't come back together.
func (s *State) jitter(d time.Duration) time.Duration {
	return d + time.Duration(s.rnd.Int64N(int64(d)))
}
