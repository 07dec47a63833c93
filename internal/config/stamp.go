package config

import (
	"strconv"
	"strings"
)

// Stamp identifies the configuration under which a request was routed. It is sent
// with requests between nodes.
type Stamp struct {
	// Tag identifies the service's document.
	Tag string
	// Version is the version of the configuration, with only a prefix of its digest.
	Version Version
	// VM is the VM of the node that routed the request and so has this version.
	VM string
}

const (
	tagSize = 16
	// stampDigestSize is the length of the prefix of the index's digest in a Stamp.
	stampDigestSize = 16
)

// Stamp returns the stamp for requests that the node on vm routes to service s.
func (c *Config) Stamp(s *Service, vm string) Stamp {
	return Stamp{Tag: s.Tag(), Version: c.Index.Version.withShortDigest(), VM: vm}
}

// Newer reports whether the stamp's configuration supersedes c.
func (s Stamp) Newer(c *Config) bool { return s.Version.Newer(c.Index.Version.withShortDigest()) }

func (v Version) withShortDigest() Version {
	return Version{Revision: v.Revision, Digest: v.Digest[:min(stampDigestSize, len(v.Digest))]}
}

// String returns the encoded stamp; ParseStamp parses it.
func (s Stamp) String() string {
	return strings.Join([]string{s.Tag, strconv.FormatUint(s.Version.Revision, 10), s.Version.Digest, s.VM}, " ")
}

// ParseStamp parses the output of String and reports whether it is valid.
func ParseStamp(text string) (Stamp, bool) {
	const parts = 4
	f := strings.Split(text, " ")
	if len(f) != parts || len(f[0]) != tagSize || len(f[2]) != stampDigestSize {
		return Stamp{}, false
	}
	revision, err := strconv.ParseUint(f[1], 10, 64)
	if err != nil {
		return Stamp{}, false
	}
	return Stamp{Tag: f[0], Version: Version{Revision: revision, Digest: f[2]}, VM: f[3]}, true
}
