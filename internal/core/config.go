package core

import (
	"slices"
	"time"

	"github.com/limpetdock/limpetdock/internal/config"
)

const (
	// maxCandidates is the maximum number of versions whose documents are being fetched.
	maxCandidates = 4
	// maxRefused is the maximum number of refused versions that are remembered.
	maxRefused = 8
)

// configTable holds the configuration in force and those being fetched.
type configTable struct {
	// active is complete and validated. It is only replaced by a newer one.
	active *config.Config
	since  time.Duration
	// candidates are versions newer than active, newest first. The first complete one is
	// activated, so that a partially published version can't block another.
	candidates []*candidate
	refused    []refusal
	// docs are the parsed documents of active and of the candidates.
	docs     map[config.Entry]*config.Service
	fetching map[config.Entry]bool
	// askedUntil is the time before which an index, or a peer's index, isn't fetched
	// again; indexFetches is the number of index fetches in progress from peers.
	askedUntil   map[string]time.Duration
	indexFetches int
	// newestHeld is the newest version that a peer reported to be in force there.
	newestHeld config.Version
	reads      platformReads
	// answered holds the peers that answered since the start, and whether they serve.
	answered map[string]bool
}

// refusal is a refused version and the reason.
type refusal struct {
	version config.Version
	reason  string
}

func newConfigTable() configTable {
	return configTable{
		docs:       map[config.Entry]*config.Service{},
		fetching:   map[config.Entry]bool{},
		askedUntil: map[string]time.Duration{},
		answered:   map[string]bool{},
	}
}

// version returns the version of the active configuration, or zero if there is none.
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

// isRefused reports whether v was refused. It compares only digests, because the
// revision of an index that can't be parsed is unknown.
func (t *configTable) isRefused(v config.Version) bool {
	return slices.ContainsFunc(t.refused, func(r refusal) bool { return r.version.Digest == v.Digest })
}

// needs reports whether a version should be fetched. A refused version isn't fetched
// again, because the checks would refuse it again.
func (t *configTable) needs(v config.Version) bool {
	return v.Newer(t.version()) && !t.isRefused(v)
}

// handleIndex processes an index text. holder is the address of the peer that has it in
// force, or empty for the platform. Older versions, as served by a stale platform, are
// dropped, so that the configuration in force never reverts.
func (s *State) handleIndex(text []byte, holder string, now time.Duration, out *commands) {
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
	if !t.needs(idx.Version) {
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
	c.addHolder(holder)
	s.fetchDocuments(c, now, out)
}

// activate puts a complete candidate in force.
func (s *State) activate(c *candidate, now time.Duration, out *commands) {
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

// dropUnused removes documents that neither active nor a candidate refers to.
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

// refuse drops a version, keeps the configuration in force, and logs the reason once
// per version.
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
