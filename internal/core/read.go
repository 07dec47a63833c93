package core

import (
	"maps"
	"time"

	"github.com/limpetdock/limpetdock/internal/config"
)

const (
	// watchersPerZone nodes of each zone watch the platform; the rest hear from peers.
	watchersPerZone = 2
	// watchPause is the least time between two watches of one key. A service
	// whose replicas disagree answers each watch at once; this bounds the calls.
	watchPause = 250 * time.Millisecond
	// lonelyReadEvery is how long a node that isn't a watcher, and hears no peer,
	// goes between reads of the platform, before jitter.
	lonelyReadEvery = 30 * time.Second
	// readEvery is the same for a node that hears peers. It mends what wrong views
	// of who watches may leave.
	readEvery = 10 * time.Minute
	// retryPause follows the first failed read, before jitter.
	retryPause = 500 * time.Millisecond
	// maxRetryPause bounds the growing pause after failed reads, before jitter.
	maxRetryPause = 8 * time.Second
	// peerIndexPause is how long one peer has to give an index before another is asked.
	peerIndexPause = 3 * time.Second
	// askAgainPause is the least time between two fetches of one index, or from
	// one peer: a burst of requests that show the same news asks once.
	askAgainPause = 200 * time.Millisecond
	// indexesAtOnce bounds the indexes being fetched from peers.
	indexesAtOnce = 4
)

// platformReads paces the node's own reads of one key of the platform.
type platformReads struct {
	// done says that the platform has answered, well or not, since the start.
	done     bool
	busy     bool
	failures int
	// last and heard are when a read last ended, and when it last ended well.
	last, heard time.Duration
	pause       time.Duration
	// spread is this node's random share of the time between rare reads, 0 to 1.
	spread float64
	// version is the platform's own version of the key, which orders watches.
	version uint64
}

// IndexRead is an index that was read from the platform or, with Peer set,
// fetched from a peer.
type IndexRead struct {
	Text    []byte
	Version uint64
	Peer    string
	// Want is the digest that a peer was asked for; empty is whatever it holds.
	Want string
	Err  error
}

func (e IndexRead) apply(s *State, now time.Duration, out *commands) {
	if e.Peer != "" {
		s.config.asking--
		s.config.asked[askKey(e.Want, e.Peer)] = now + askAgainPause
	} else {
		s.config.reads.ended(s, now, e.Version, e.Err)
	}
	if e.Err != nil || e.Want != "" && config.Digest(e.Text) != e.Want {
		return
	}
	s.offer(e.Text, e.Peer, now, out)
}

func (r *platformReads) ended(s *State, now time.Duration, version uint64, err error) {
	r.done, r.busy, r.last = true, false, now
	if err != nil {
		r.failures++
		r.pause = s.jitter(backoff(r.failures, maxRetryPause))
		return
	}
	r.failures, r.heard, r.version = 0, now, version
	r.pause = s.jitter(watchPause)
	r.spread = s.rnd.Float64()
}

// runConfig reads the index when it is due, and goes on gathering.
func (s *State) runConfig(now time.Duration, out *commands) {
	t := &s.config
	if !t.reads.busy && s.due(&t.reads, now) {
		t.reads.busy = true
		out.add(ReadIndex{Watch: t.reads.version != 0 && s.watches(), After: t.reads.version})
	}
	for _, c := range append([]*candidate(nil), t.candidates...) {
		s.gather(c, now, out)
	}
	s.join(now, out)
}

// due says whether a key is read now: by watchers at once, by the others when
// they have heard nothing for long.
func (s *State) due(r *platformReads, now time.Duration) bool {
	if !r.done {
		return true
	}
	if now < r.last+r.pause {
		return false
	}
	if r.failures > 0 || s.watches() {
		return true
	}
	every := readEvery
	if now-s.round.heard > lonelyReadEvery {
		every = lonelyReadEvery
	}
	return now > r.heard+every+time.Duration(r.spread*float64(every))
}

// heardVersion takes what a peer says is in force there. It fetches the index
// if it is newer, or remembers the peer as a source of its documents.
func (s *State) heardVersion(v config.Version, addr string, now time.Duration, out *commands) {
	t := &s.config
	if addr == "" || !t.wants(v) {
		return
	}
	if v.Newer(t.held) {
		t.held = v
	}
	if c := t.candidate(v); c != nil {
		c.held(addr)
		return
	}
	s.askIndex(v.Digest, addr, now, out)
}

// askIndex fetches an index from a peer, unless that is under way.
func (s *State) askIndex(digest, addr string, now time.Duration, out *commands) {
	t := &s.config
	maps.DeleteFunc(t.asked, func(_ string, until time.Duration) bool { return now >= until })
	key := askKey(digest, addr)
	if _, asked := t.asked[key]; asked || t.asking >= indexesAtOnce {
		return
	}
	t.asking++
	t.asked[key] = now + peerIndexPause
	out.add(FetchIndex{Digest: digest, Peer: addr})
}

func askKey(digest, addr string) string {
	if digest == "" {
		return addr
	}
	return digest
}

// Behind says that a peer works under another configuration than this node, and
// that a request has shown it: the peer is asked for its index at once.
type Behind struct{ VM string }

func (e Behind) apply(s *State, now time.Duration, out *commands) {
	s.counters.Behind++
	addr := s.controlAddr(e.VM)
	if addr == "" || e.VM == s.self.VM || len(s.config.candidates) > 0 {
		return
	}
	s.askIndex("", addr, now, out)
}

// watches says whether this node watches the platform for its zone. Each node
// decides from its own view: a wrong view costs reads, never safety.
func (s *State) watches() bool {
	if s.config.active == nil || !s.vms.known {
		return false
	}
	s.zonePeers()
	first := 0
	for _, name := range s.vms.before {
		if !s.suspected(name) {
			first++
		}
		if first == watchersPerZone {
			return false
		}
	}
	return true
}
