package core

import (
	"time"

	"github.com/limpetdock/limpetdock/internal/config"
)

const (
	// watchersPerZone nodes of each zone watch the platform; the rest hear from peers.
	watchersPerZone = 2
	// readEvery is how long a node that isn't a watcher goes without reading the
	// index itself, before jitter of as much again.
	readEvery = 30 * time.Second
	// retryPause follows a failed read, before jitter of as much again.
	retryPause = 500 * time.Millisecond
	// joinPatience is how long a new node waits for peers before it serves with
	// what the platform alone told it.
	joinPatience = 2 * time.Second
	// joinPeers is how many peers a new node wants to hear before it serves.
	joinPeers = 3
)

// configTable holds the configuration in force and the one being gathered.
type configTable struct {
	// active is whole and checked; it is only ever replaced by a newer one.
	active *config.Config
	since  time.Duration
	// next is the newest index seen that isn't in force yet.
	next *gathering
	// refused is the newest version that was refused, with the reason.
	refused       config.Version
	refusedReason string
	// asked says that the platform has answered, well or not, since the start.
	asked    bool
	reading  bool
	readAt   time.Duration
	platform uint64
	docs     map[string]*config.Service
	peers    int
}

// gathering is an index whose documents are still being fetched.
type gathering struct {
	index   *config.Index
	peer    string
	waiting map[string]bool
	retryAt time.Duration
}

func newConfigTable() configTable {
	return configTable{docs: map[string]*config.Service{}}
}

// version is that of the configuration in force; zero when there is none.
func (t *configTable) version() config.Version {
	if t.active == nil {
		return config.Version{}
	}
	return t.active.Index.Version
}

// newest is the newest version seen and not refused, in force or not.
func (t *configTable) newest() config.Version {
	if t.next != nil {
		return t.next.index.Version
	}
	return t.version()
}

// IndexRead is an index that was read from the platform or, with Peer set,
// fetched from a peer.
type IndexRead struct {
	Text    []byte
	Version uint64
	Peer    string
	Err     error
}

func (e IndexRead) apply(s *State, now time.Duration, out *commands) {
	t := &s.config
	if e.Peer == "" {
		t.asked, t.reading = true, false
		t.readAt = s.nextRead(now, e.Err)
		if e.Err == nil {
			t.platform = e.Version
		}
	}
	if e.Err != nil {
		return
	}
	s.offer(e.Text, e.Peer, now, out)
}

// nextRead says when the index is read again: watchers at once, others rarely.
func (s *State) nextRead(now time.Duration, err error) time.Duration {
	if err != nil {
		return now + s.jitter(retryPause)
	}
	if s.watches() {
		return now
	}
	return now + s.jitter(readEvery)
}

func (s *State) jitter(d time.Duration) time.Duration {
	return d + time.Duration(s.rnd.Int64N(int64(d)))
}

// offer takes an index text if it is newer than all seen before. An older one
// is what a stale platform serves; it is dropped, and so the configuration in
// force never goes back.
func (s *State) offer(text []byte, peer string, now time.Duration, out *commands) {
	t := &s.config
	idx, err := config.ParseIndex(text)
	if err != nil {
		s.refuse(config.Version{Digest: config.Digest(text)}, err, out)
		return
	}
	if idx.Fleet.Name != s.self.Fleet {
		s.refuse(idx.Version, errOtherFleet, out)
		return
	}
	if !idx.Version.Newer(t.newest()) || idx.Version == t.refused {
		return
	}
	t.next = &gathering{index: idx, peer: peer, waiting: map[string]bool{}}
	s.gather(now, out)
}

// gather asks for the documents that aren't held yet; with all of them held
// the configuration is put in force.
func (s *State) gather(now time.Duration, out *commands) {
	t := &s.config
	g := t.next
	missing := 0
	for _, e := range g.index.Entries {
		if t.docs[e.Digest] != nil {
			continue
		}
		missing++
		if !g.waiting[e.Digest] {
			g.waiting[e.Digest] = true
			out.add(FetchDocument{Entry: e, Peer: g.peer})
		}
	}
	if missing == 0 {
		s.enforce(now, out)
	}
}

func (s *State) enforce(now time.Duration, out *commands) {
	t := &s.config
	g := t.next
	t.next = nil
	services := make([]*config.Service, 0, len(g.index.Entries))
	keep := map[string]*config.Service{}
	for _, e := range g.index.Entries {
		services = append(services, t.docs[e.Digest])
		keep[e.Digest] = t.docs[e.Digest]
	}
	next, err := config.Assemble(g.index, services)
	if err != nil {
		s.refuse(g.index.Version, err, out)
		return
	}
	t.active, t.since, t.docs = next, now, keep
	s.dirty = true
	out.log("configuration in force", "revision", next.Index.Version.Revision, "digest", next.Index.Version.Digest)
}

// refuse keeps the last good configuration and says why once.
func (s *State) refuse(v config.Version, err error, out *commands) {
	t := &s.config
	if t.next != nil && t.next.index.Version == v {
		t.next = nil
	}
	if t.refused == v {
		return
	}
	t.refused, t.refusedReason = v, err.Error()
	out.log("configuration refused", "revision", v.Revision, "digest", v.Digest, "reason", err.Error())
}

// DocumentRead is the result of a FetchDocument.
type DocumentRead struct {
	Entry config.Entry
	Text  []byte
	Err   error
}

func (e DocumentRead) apply(s *State, now time.Duration, out *commands) {
	g := s.config.next
	if g == nil || !g.waiting[e.Entry.Digest] {
		return
	}
	delete(g.waiting, e.Entry.Digest)
	if e.Err != nil || config.Digest(e.Text) != e.Entry.Digest {
		// A missing or half-published document: asked for again, at the platform.
		g.peer = ""
		g.retryAt = now + s.jitter(retryPause)
		return
	}
	doc, err := config.ParseService(e.Entry, e.Text)
	if err != nil {
		s.refuse(g.index.Version, err, out)
		return
	}
	s.config.docs[e.Entry.Digest] = doc
	s.gather(now, out)
}

// runConfig reads the index when it is due, and asks again for documents.
func (s *State) runConfig(now time.Duration, out *commands) {
	t := &s.config
	if !t.reading && now >= t.readAt {
		t.reading = true
		out.add(ReadIndex{Watch: t.platform != 0 && s.watches(), After: t.platform})
	}
	if g := t.next; g != nil && g.retryAt != 0 && now >= g.retryAt && len(g.waiting) == 0 {
		g.retryAt = 0
		s.gather(now, out)
	}
	s.join(now, out)
}

// join decides when a node that has just started may serve. It has no memory
// and the platform may be stale, so it first hears several peers: one that holds
// a newer revision makes it gather that before anything is served.
func (s *State) join(now time.Duration, out *commands) {
	t := &s.config
	if s.joined || t.active == nil || t.next != nil {
		return
	}
	enough := t.peers >= min(joinPeers, s.knownPeers())
	if !enough && now < joinPatience {
		return
	}
	if !t.asked && t.peers == 0 {
		return
	}
	s.joined, s.dirty = true, true
	out.log("serving", "revision", t.version().Revision, "peers", t.peers)
}

// watches says whether this node watches the platform for its zone. Each node
// decides from its own view: a wrong view costs reads, never safety.
func (s *State) watches() bool {
	mine := rendezvous(s.self.Zone, s.self.VM)
	better := 0
	for name := range s.vms.rows {
		if name == s.self.VM || s.zoneOf(name) != s.self.Zone || s.suspected(name) {
			continue
		}
		if rendezvous(s.self.Zone, name) > mine {
			better++
		}
	}
	return better < watchersPerZone
}
