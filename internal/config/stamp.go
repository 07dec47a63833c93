package config

import (
	"strconv"
	"strings"
)

// Stamp says under which configuration a request was routed. It travels with
// requests between nodes.
type Stamp struct {
	// Tag names the service's document.
	Tag string
	// Version is the whole configuration's, with the start of its digest only.
	Version Version
	// VM is the node that routed the request, and so holds the version.
	VM string
}

const (
	tagSize = 16
	// stampDigest is how much of the index's digest a Stamp holds.
	stampDigest = 16
)

// Stamp gives the stamp of requests that the node on vm routes to a service.
func (c *Config) Stamp(s *Service, vm string) Stamp {
	return Stamp{Tag: s.Tag(), Version: c.Index.Version.short(), VM: vm}
}

// Newer says whether a stamp's configuration goes before c.
func (s Stamp) Newer(c *Config) bool { return s.Version.Newer(c.Index.Version.short()) }

func (v Version) short() Version {
	return Version{Revision: v.Revision, Digest: v.Digest[:min(stampDigest, len(v.Digest))]}
}

// String gives the stamp as it travels; ParseStamp reads it.
func (s Stamp) String() string {
	return strings.Join([]string{s.Tag, strconv.FormatUint(s.Version.Revision, 10), s.Version.Digest, s.VM}, " ")
}

// ParseStamp reads what String gave.
func ParseStamp(text string) (Stamp, bool) {
	const parts = 4
	f := strings.Split(text, " ")
	if len(f) != parts || len(f[0]) != tagSize || len(f[2]) != stampDigest {
		return Stamp{}, false
	}
	revision, err := strconv.ParseUint(f[1], 10, 64)
	if err != nil {
		return Stamp{}, false
	}
	return Stamp{Tag: f[0], Version: Version{Revision: revision, Digest: f[2]}, VM: f[3]}, true
}
