package core

import (
	"time"

	"github.com/limpetdock/limpetdock/internal/config"
	"github.com/limpetdock/limpetdock/internal/platform"
	"github.com/limpetdock/limpetdock/internal/wire"
)

// Dump is a copy of every table, for people to read.
type Dump struct {
	Self     Self                   `json:"self"`
	Joined   bool                   `json:"joined"`
	Config   ConfigDump             `json:"config"`
	VMs      map[string]platform.VM `json:"vms"`
	Members  map[string]MemberDump  `json:"members"`
	Leaving  bool                   `json:"leaving"`
	Suspects []wire.Suspect         `json:"suspects"`
}

// ConfigDump is the configuration in force and what was refused last.
type ConfigDump struct {
	Version        config.Version  `json:"version"`
	InForceFor     time.Duration   `json:"in_force_for_ns"`
	Gathering      *config.Version `json:"gathering,omitempty"`
	Refused        *config.Version `json:"refused,omitempty"`
	RefusedBecause string          `json:"refused_because,omitempty"`
	Watches        bool            `json:"watches"`
}

// MemberDump is a row of the members table.
type MemberDump struct {
	Incarnation uint64           `json:"incarnation"`
	State       wire.MemberState `json:"state"`
	Tick        uint64           `json:"tick"`
	HeardAgo    time.Duration    `json:"heard_ago_ns"`
	Failures    int              `json:"failures"`
}

// Dump copies the tables.
func (s *State) Dump(now time.Duration) Dump {
	d := Dump{Self: s.self, Joined: s.joined, VMs: s.vms.rows, Members: map[string]MemberDump{}, Leaving: s.Leaving(), Suspects: s.suspects.Dump(now)}
	t := &s.config
	d.Config = ConfigDump{Version: t.version(), Watches: s.watches(), RefusedBecause: t.refusedReason}
	if t.active != nil {
		d.Config.InForceFor = now - t.since
	}
	if t.next != nil {
		d.Config.Gathering = &t.next.index.Version
	}
	if t.refused != (config.Version{}) {
		refused := t.refused
		d.Config.Refused = &refused
	}
	for name, m := range s.members {
		d.Members[name] = MemberDump{m.news.Incarnation, m.news.State, m.news.Tick, now - m.heard, m.failures}
	}
	return d
}

// Document gives the text of a document or index in force, by digest, for peers.
func (s *State) Document(digest string) []byte {
	if s.config.active == nil {
		return nil
	}
	if s.config.active.Index.Version.Digest == digest {
		return s.config.active.Index.Text
	}
	if doc := s.config.docs[digest]; doc != nil {
		return doc.Text
	}
	return nil
}
