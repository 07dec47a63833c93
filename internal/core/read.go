package core

import (
	"maps"
	"time"

	"github.com/limpetdock/limpetdock/internal/config"
)

const (
	// watchersPerZone is the number of nodes per zone that watch the platform. The others
	// receive updates from peers.
	watchersPerZone = 2
	// watchPause is the minimum time between two watches of one key. It limits the calls
	// if the platform's replicas disagree, because each watch then returns at once.
	watchPause = 250 * time.Millisecond
	// isolatedReadInterval is the time between reads of the platform, before jitter, on a
	// node that isn't a watcher and receives nothing from peers.
	isolatedReadInterval = 30 * time.Second
	// readInterval is the same for a node that receives messages from peers. These reads
	// correct stale state left by differing views of which nodes watch.
	readInterval = 10 * time.Minute
	// retryPause is the pause after the first failed read, before jitter.
	retryPause = 500 * time.Millisecond
	// maxRetryPause is the upper limit of the backoff after failed reads, before jitter.
	maxRetryPause = 8 * time.Second
	// peerIndexTimeout is how long a peer has to return an index before another is asked.
	peerIndexTimeout = 3 * time.Second
	// refetchPause is the minimum time between two fetches of one index, or from one
	// peer, so that a burst of requests that reveal the same change causes one fetch.
	refetchPause = 200 * time.Millisecond
	// maxIndexFetches is the maximum number of concurrent index fetches from peers.
	maxIndexFetches = 4
)

// platformReads schedules the node's own reads of one key of the platform.
type platformReads struct {
	// done is true once a read of the platform has ended, with or without an error.
	done     bool
	busy     bool
	failures int
	// lastEnd is when a read last ended, lastSuccess when one last succeeded.
	lastEnd, lastSuccess time.Duration
	pause                time.Duration
	// randomShare is the random fraction, 0 to 1, of the read interval that is added to
	// it as jitter.
	randomShare float64
	// version is the platform's version of the key, which the next watch passes on.
	version uint64
}

// IndexRead is an index that was read from the platform or, with Peer set,
// fetched from a peer.
type IndexRead struct {
	Text    []byte
	Version uint64
	Peer    string
	// Want is the digest requested from a peer; empty requests the index in force there.
	Want string
	Err  error
}

func (e IndexRead) apply(s *State, now time.Duration, out *commands) {
	if e.Peer != "" {
		s.config.indexFetches--
		s.config.askedUntil[fetchKey(e.Want, e.Peer)] = now + refetchPause
	} else {
		s.config.reads.finish(s, now, e.Version, e.Err)
	}
	if e.Err != nil || e.Want != "" && config.Digest(e.Text) != e.Want {
		return
	}
	s.handleIndex(e.Text, e.Peer, now, out)
}

func (r *platformReads) finish(s *State, now time.Duration, version uint64, err error) {
	r.done, r.busy, r.lastEnd = true, false, now
	if err != nil {
		r.failures++
		r.pause = s.jitter(backoff(r.failures, maxRetryPause))
		return
	}
	r.failures, r.lastSuccess, r.version = 0, now, version
	r.pause = s.jitter(watchPause)
	r.randomShare = s.rnd.Float64()
}

// runConfig reads the index when it is due and continues to fetch documents.
func (s *State) runConfig(now time.Duration, out *commands) {
	t := &s.config
	if !t.reads.busy && s.due(&t.reads, now) {
		t.reads.busy = true
		out.add(ReadIndex{Watch: t.reads.version != 0 && s.watches(), After: t.reads.version})
	}
	for _, c := range append([]*candidate(nil), t.candidates...) {
		s.fetchDocuments(c, now, out)
	}
	s.startServing(now, out)
}

// due reports whether a key should be read now. Watchers read again at once, the others
// only after a long interval.
func (s *State) due(r *platformReads, now time.Duration) bool {
	if !r.done {
		return true
	}
	if now < r.lastEnd+r.pause {
		return false
	}
	if r.failures > 0 || s.watches() {
		return true
	}
	interval := readInterval
	if now-s.round.lastReceived > isolatedReadInterval {
		interval = isolatedReadInterval
	}
	return now > r.lastSuccess+interval+time.Duration(r.randomShare*float64(interval))
}

// handleVersion processes the version that a peer reports to be in force there. If it
// is newer, handleVersion fetches the index, or adds the peer as a holder of the
// candidate.
func (s *State) handleVersion(v config.Version, addr string, now time.Duration, out *commands) {
	t := &s.config
	if addr == "" || !t.needs(v) {
		return
	}
	if v.Newer(t.newestHeld) {
		t.newestHeld = v
	}
	if c := t.candidate(v); c != nil {
		c.addHolder(addr)
		return
	}
	s.fetchIndex(v.Digest, addr, now, out)
}

// fetchIndex fetches an index from a peer unless a fetch is in progress or was recent.
func (s *State) fetchIndex(digest, addr string, now time.Duration, out *commands) {
	t := &s.config
	maps.DeleteFunc(t.askedUntil, func(_ string, until time.Duration) bool { return now >= until })
	key := fetchKey(digest, addr)
	if _, pending := t.askedUntil[key]; pending || t.indexFetches >= maxIndexFetches {
		return
	}
	t.indexFetches++
	t.askedUntil[key] = now + peerIndexTimeout
	out.add(FetchIndex{Digest: digest, Peer: addr})
}

func fetchKey(digest, addr string) string {
	if digest == "" {
		return addr
	}
	return digest
}

// ConfigMismatch reports that a request revealed a peer with another configuration in
// force. The peer's index is fetched at once.
type ConfigMismatch struct{ VM string }

func (e ConfigMismatch) apply(s *State, now time.Duration, out *commands) {
	s.counters.Behind++
	addr := s.controlAddr(e.VM)
	if addr == "" || e.VM == s.self.VM || len(s.config.candidates) > 0 {
		return
	}
	s.fetchIndex("", addr, now, out)
}

// watches reports whether this node watches the platform for its zone. Each node
// decides from its own view. Differing views only change the number of reads; they
// don't affect safety.
func (s *State) watches() bool {
	if s.config.active == nil || !s.vms.known {
		return false
	}
	s.zonePeers()
	first := 0
	for _, name := range s.vms.zoneBefore {
		if !s.suspected(name) {
			first++
		}
		if first == watchersPerZone {
			return false
		}
	}
	return true
}
