package core

import (
	"maps"
	"time"

	"github.com/limpetdock/limpetdock/internal/config"
	"github.com/limpetdock/limpetdock/internal/handover"
	"github.com/limpetdock/limpetdock/internal/platform"
	"github.com/limpetdock/limpetdock/internal/wire"
)

// Dump is a copy of all tables for diagnosis.
type Dump struct {
	Self     Self                  `json:"self"`
	Joined   bool                  `json:"joined"`
	Leaving  bool                  `json:"leaving"`
	Config   ConfigDump            `json:"config"`
	VMs      VMsDump               `json:"vms"`
	Members  map[string]MemberDump `json:"members"`
	Counters Counters              `json:"counters"`
	Suspects []wire.Suspect        `json:"suspects"`
	// KeyTables are the key tables stored for stopped peers.
	KeyTables map[string]handover.TableInfo `json:"key_tables"`
}

// ConfigDump describes the configuration in force, those being fetched, and those
// refused most recently.
type ConfigDump struct {
	// Version is the version in force; it is zero until the node serves.
	Version config.Version `json:"version"`
	// Held is the newest complete version on this node. Before the node serves, it may be
	// an older version from a stale platform and is not used yet.
	Held       config.Version  `json:"held"`
	InForceFor time.Duration   `json:"in_force_for_ns"`
	Gathering  []CandidateDump `json:"gathering,omitempty"`
	Refused    []RefusalDump   `json:"refused,omitempty"`
	Watches    bool            `json:"watches"`
	// ReadFailures counts consecutive failed reads of the platform's index.
	ReadFailures int `json:"read_failures"`
	// ReadAgo is the time since the last successful read.
	ReadAgo time.Duration `json:"read_ago_ns"`
}

// CandidateDump describes a version that isn't complete yet.
type CandidateDump struct {
	Version  config.Version `json:"version"`
	Missing  []string       `json:"missing"`
	Failures int            `json:"failures"`
}

// RefusalDump describes a refused version.
type RefusalDump struct {
	Version config.Version `json:"version"`
	Reason  string         `json:"reason"`
}

// VMsDump is this node's copy of the VM list.
type VMsDump struct {
	Version uint64                 `json:"version"`
	Rows    map[string]platform.VM `json:"rows"`
}

// MemberDump is a row of the members table.
type MemberDump struct {
	Incarnation uint64           `json:"incarnation"`
	State       wire.MemberState `json:"state"`
	Tick        uint64           `json:"tick"`
	LastSeenAgo time.Duration    `json:"heard_ago_ns"`
	Failures    int              `json:"failures"`
	Suspected   bool             `json:"suspected"`
}

// Dump returns a copy of the tables.
func (s *State) Dump(now time.Duration) Dump {
	d := Dump{
		Self: s.self, Joined: s.joined, Leaving: s.Leaving(), Config: s.dumpConfig(now),
		VMs:     VMsDump{s.vms.version, maps.Clone(s.vms.rows)},
		Members: map[string]MemberDump{}, Counters: s.Counters(),
		Suspects: s.suspects.Dump(now), KeyTables: s.keeper.Tables(),
	}
	for name, m := range s.members.rows {
		d.Members[name] = MemberDump{
			m.update.Incarnation, m.update.State, m.update.Tick, now - m.lastSeen, m.failures, s.suspected(name),
		}
	}
	return d
}

func (s *State) dumpConfig(now time.Duration) ConfigDump {
	t := &s.config
	d := ConfigDump{
		Version: s.inForce(), Held: t.version(), Watches: s.watches(),
		ReadFailures: t.reads.failures, ReadAgo: now - t.reads.lastSuccess,
	}
	if s.joined {
		d.InForceFor = now - t.since
	}
	for _, c := range t.candidates {
		row := CandidateDump{Version: c.index.Version, Failures: c.failures}
		for _, e := range c.index.Entries {
			if t.docs[e] == nil {
				row.Missing = append(row.Missing, e.Key)
			}
		}
		d.Gathering = append(d.Gathering, row)
	}
	for _, r := range t.refused {
		d.Refused = append(d.Refused, RefusalDump{r.version, r.reason})
	}
	return d
}

// Document returns the text of a document or index for peers, by digest, or nil if this
// node doesn't have it. An empty digest returns the index in force.
func (s *State) Document(digest string) []byte {
	active := s.config.active
	if active == nil {
		return nil
	}
	if digest == "" || active.Index.Version.Digest == digest {
		return active.Index.Text
	}
	for e, doc := range s.config.docs {
		if e.Digest == digest {
			return doc.Text
		}
	}
	return nil
}
