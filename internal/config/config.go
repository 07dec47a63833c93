// Package config parses and checks the configuration documents that operators
// publish, and holds them as one immutable value once they are whole.
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

// Version orders configurations. Two different indexes of one revision, as two
// operators publishing at once would leave, are ordered by digest: every node
// then keeps the same one, whichever it saw first.
type Version struct {
	Revision uint64 `json:"revision"`
	// Digest is the SHA-256 of the index, in hexadecimal.
	Digest string `json:"digest"`
}

// Newer says whether v goes before other.
func (v Version) Newer(other Version) bool {
	if v.Revision != other.Revision {
		return v.Revision > other.Revision
	}
	return v.Digest > other.Digest
}

// String gives the revision with the start of the digest.
func (v Version) String() string {
	return fmt.Sprintf("%d-%.8s", v.Revision, v.Digest)
}

// Entry is what the index says of one service document.
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

// Service is one service's document, parsed and checked.
type Service struct {
	fleet.Service
	Entry Entry
	Text  []byte
}

// Tag names the document in requests between nodes.
func (s *Service) Tag() string { return s.Entry.Digest[:tagSize] }

// Config is a whole configuration. It is immutable.
type Config struct {
	Index    *Index
	Services map[string]*Service
	// ByHost finds a service by the Host of a request.
	ByHost map[string]*Service
	// Regions finds the region of an availability zone.
	Regions map[string]string
	// targets finds the target that stands on a VM.
	targets map[string]placed
}

// placed is a target with the service it is of.
type placed struct {
	service *Service
	target  *fleet.Target
}

// Digest gives the SHA-256 of a text in hexadecimal.
func Digest(text []byte) string {
	sum := sha256.Sum256(text)
	return hex.EncodeToString(sum[:])
}

// Assemble joins an index with all of its documents, in any order, and checks the whole.
func Assemble(idx *Index, services []*Service) (*Config, error) {
	c := &Config{
		Index: idx, Services: map[string]*Service{}, ByHost: map[string]*Service{}, Regions: map[string]string{},
		targets: map[string]placed{},
	}
	whole := idx.Fleet
	for _, e := range idx.Entries {
		at := slices.IndexFunc(services, func(s *Service) bool { return s.Entry == e })
		if at < 0 {
			return nil, eris.Errorf("document %s is missing", e.Key)
		}
		s := services[at]
		whole.Services = append(whole.Services, s.Service)
		c.Services[s.Name] = s
		for _, h := range s.Hosts {
			c.ByHost[h] = s
		}
		for i := range s.Targets {
			c.targets[s.Targets[i].VM] = placed{s, &s.Targets[i]}
		}
	}
	if err := whole.Check(); err != nil {
		return nil, eris.Wrap(err, "configuration")
	}
	for _, z := range idx.Fleet.Zones {
		c.Regions[z.Name] = z.Region
	}
	return c, nil
}

// Lookup finds the service of a request: by name, else by host without its port.
func (c *Config) Lookup(name, host string) *Service {
	if name != "" {
		return c.Services[name]
	}
	if h, _, ok := strings.Cut(host, ":"); ok {
		host = h
	}
	// Hosts are compared without regard to case (RFC 9110, section 4.2.3); those
	// of documents are in lower case.
	host = strings.ToLower(host)
	if s, ok := c.ByHost[host]; ok {
		return s
	}
	return c.Services[host]
}

// Target finds the target that stands on a VM, with its service.
func (c *Config) Target(vm string) (*Service, *fleet.Target) {
	p := c.targets[vm]
	return p.service, p.target
}
