package core

import (
	"slices"
	"time"

	"github.com/limpetdock/limpetdock/internal/config"
)

const (
	// maxCandidates bounds the versions whose documents are gathered at a time.
	maxCandidates = 4
	// maxRefused bounds the refused versions that are remembered.
	maxRefused = 8
)

// configTable holds the configuration in force and those being gathered.
type configTable struct {
	// active is whole and checked; it is only ever replaced by a newer one.
	active *config.Config
	since  time.Duration
	// candidates are versions newer than active, newest first. The first that
	// is whole goes in force, so one half-published version can't block another.
	candidates []*candidate
	refused    []refusal
	// docs are the parsed documents of active and of the candidates.
	docs     map[config.Entry]*config.Service
	fetching map[config.Entry]bool
	// asked are the indexes, or peers, that aren't asked for again until a time,
	// and asking is how many indexes are being fetched from peers.
	asked  map[string]time.Duration
	asking int
	// held is the newest version that a peer said is in force there.
	held  config.Version
	reads platformReads
	// heardFrom are the peers that answered since the start, and whether they serve.
	heardFrom map[string]bool
}

// refusal is a version that was refused, and why.
type refusal struct {
	version config.Version
	reason  string
}

func newConfigTable() configTable {
	return configTable{
		docs:      map[config.Entry]*config.Service{},
		fetching:  map[config.Entry]bool{},
		asked:     map[string]time.Duration{},
		heardFrom: map[string]bool{},
	}
}

// version is that of the configuration in force; zero when there is none.
func (t *configTable) version() config.Version {
	if t.active == nil {
		return config.Version{}
	}
	return t.active.Index.Version
}

func (t *configTable) candidate(v config.Version) *candidate {
	for _, c := range t.candidates {
		if c.index.Version == v {
			return c
		}
	}
	return nil
}

// isRefused goes by the digest alone: an index that can't be read was refused
// without its revision being known.
func (t *configTable) isRefused(v config.Version) bool {
	return slices.ContainsFunc(t.refused, func(r refusal) bool { return r.version.Digest == v.Digest })
}

// wants says whether a version is worth fetching. One that was refused isn't:
// the checks are the same everywhere and would refuse it again.
func (t *configTable) wants(v config.Version) bool {
	return v.Newer(t.version()) && !t.isRefused(v)
}

// offer takes an index text; holder is the peer that has it in force, empty
// for the platform. An older version is what a stale platform serves. It is
// dropped, so the configuration in force never goes back.
func (s *State) offer(text []byte, holder string, now time.Duration, out *commands) {
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
	if holder == "" && t.version().Newer(idx.Version) {
		s.counters.OlderIndexes++
	}
	if !t.wants(idx.Version) {
		return
	}
	c := t.candidate(idx.Version)
	if c == nil {
		c = &candidate{index: idx, since: now}
		t.admit(c)
	}
	if holder == "" && !s.watches() && len(c.holders) == 0 && c.failures == 0 {
		c.retryAt = now + s.jitter(holderWait)
	}
	c.held(holder)
	s.gather(c, now, out)
}

// enforce puts a candidate in force whose documents are all held.
func (s *State) enforce(c *candidate, now time.Duration, out *commands) {
	t := &s.config
	services := make([]*config.Service, 0, len(c.index.Entries))
	for _, e := range c.index.Entries {
		services = append(services, t.docs[e])
	}
	next, err := config.Assemble(c.index, services)
	if err != nil {
		s.refuse(c.index.Version, err, out)
		return
	}
	t.active, t.since = next, now
	t.candidates = slices.DeleteFunc(t.candidates, func(c *candidate) bool {
		return !c.index.Version.Newer(t.version())
	})
	t.dropUnused()
	s.dirty = true
	s.counters.Applied++
	if s.joined {
		out.log("configuration in force", "revision", next.Index.Version.Revision, "digest", next.Index.Version.Digest)
	}
	s.push(out)
}

// dropUnused forgets documents that neither active nor a candidate names.
func (t *configTable) dropUnused() {
	used := map[config.Entry]bool{}
	for _, e := range t.active.Index.Entries {
		used[e] = true
	}
	for _, c := range t.candidates {
		for _, e := range c.index.Entries {
			used[e] = true
		}
	}
	for e := range t.docs {
		if !used[e] {
			delete(t.docs, e)
		}
	}
}

// refuse keeps the last good configuration and says why, once for each version.
func (s *State) refuse(v config.Version, err error, out *commands) {
	t := &s.config
	t.candidates = slices.DeleteFunc(t.candidates, func(c *candidate) bool { return c.index.Version == v })
	if t.isRefused(v) {
		return
	}
	if len(t.refused) == maxRefused {
		t.refused = slices.Delete(t.refused, 0, 1)
	}
	t.refused = append(t.refused, refusal{v, err.Error()})
	s.counters.Refused++
	out.log("configuration refused", "revision", v.Revision, "digest", v.Digest, "reason", err.Error())
}
