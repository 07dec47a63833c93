// Package config parses and checks the configuration documents that operators
// publish, and combines a complete set of them into one immutable value.
package config

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"slices"
	"strings"

	"github.com/rotisserie/eris"

	"github.com/limpetdock/limpetdock/fleet"
)

// Version orders configurations. If two operators publish different indexes with
// the same revision at once, these are ordered by digest, so that every node keeps
// the same one, whichever it received first.
type Version struct {
	Revision uint64 `json:"revision"`
	// Digest is the SHA-256 of the index, in hexadecimal.
	Digest string `json:"digest"`
}

// Newer reports whether v supersedes other.
func (v Version) Newer(other Version) bool {
	if v.Revision != other.Revision {
		return v.Revision > other.Revision
	}
	return v.Digest > other.Digest
}

// String returns the revision and the first characters of the digest.
func (v Version) String() string {
	return fmt.Sprintf("%d-%.8s", v.Revision, v.Digest)
}

// Entry is the index entry of one service document.
type Entry struct {
	Service, Key string
	Size         int
	// Digest is the SHA-256 of the document, in hexadecimal.
	Digest string
}

// Index is a parsed index document.
type Index struct {
	Version Version
	Text    []byte
	Fleet   fleet.Fleet // without services
	Entries []Entry
}

// Service is a parsed and checked service document.
type Service struct {
	fleet.Service
	Entry Entry
	Text  []byte
}

// Tag returns the prefix of the digest that identifies the document in requests
// between nodes.
func (s *Service) Tag() string { return s.Entry.Digest[:tagSize] }

// Config is a complete configuration. It is immutable.
type Config struct {
	Index    *Index
	Services map[string]*Service
	// ByHost maps the Host of a request to its service.
	ByHost map[string]*Service
	// Regions maps an availability zone to its region.
	Regions map[string]string
	// targets maps a VM to the target on it.
	targets map[string]serviceTarget
}

// serviceTarget is a target and the service it belongs to.
type serviceTarget struct {
	service *Service
	target  *fleet.Target
}

// Digest returns the SHA-256 of text in hexadecimal.
func Digest(text []byte) string {
	sum := sha256.Sum256(text)
	return hex.EncodeToString(sum[:])
}

// Assemble combines an index with all of its documents, which may be in any order,
// and checks the result.
func Assemble(idx *Index, services []*Service) (*Config, error) {
	c := &Config{
		Index: idx, Services: map[string]*Service{}, ByHost: map[string]*Service{}, Regions: map[string]string{},
		targets: map[string]serviceTarget{},
	}
	combined := idx.Fleet
	for _, e := range idx.Entries {
		at := slices.IndexFunc(services, func(s *Service) bool { return s.Entry == e })
		if at < 0 {
			return nil, eris.Errorf("document %s is missing", e.Key)
		}
		s := services[at]
		combined.Services = append(combined.Services, s.Service)
		c.Services[s.Name] = s
		for _, h := range s.Hosts {
			c.ByHost[h] = s
		}
		for i := range s.Targets {
			c.targets[s.Targets[i].VM] = serviceTarget{s, &s.Targets[i]}
		}
	}
	if err := combined.Check(); err != nil {
		return nil, eris.Wrap(err, "configuration")
	}
	for _, z := range idx.Fleet.Zones {
		c.Regions[z.Name] = z.Region
	}
	return c, nil
}

// Lookup returns the service of a request, or nil: by name if it has one, else by
// host without the port.
func (c *Config) Lookup(name, host string) *Service {
	if name != "" {
		return c.Services[name]
	}
	if h, _, ok := strings.Cut(host, ":"); ok {
		host = h
	}
	// Hosts are case-insensitive (RFC 9110, section 4.2.3); those in documents are
	// in lower case.
	host = strings.ToLower(host)
	if s, ok := c.ByHost[host]; ok {
		return s
	}
	return c.Services[host]
}

// Target returns the target on a VM and its service, or nil for both.
func (c *Config) Target(vm string) (*Service, *fleet.Target) {
	p := c.targets[vm]
	return p.service, p.target
}
