// Package config parses and checks the configuration documents that operators
// publish, and holds them as one immutable value once they are whole.
package config

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"gopkg.in/ini.v1"

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

// ParseIndex parses and checks an index document.
func ParseIndex(text []byte) (*Index, error) {
	doc, err := load(text)
	if err != nil {
		return nil, err
	}
	r := &reader{}
	idx := &Index{Text: text}
	for _, s := range doc.Sections() {
		r.indexSection(idx, s)
	}
	idx.Fleet.Name = doc.Section("index").Key("fleet").String()
	idx.Version = Version{Revision: r.uint(doc.Section("index"), "revision"), Digest: Digest(text)}
	idx.Fleet.Revision = idx.Version.Revision
	if r.err != nil {
		return nil, r.err
	}
	return idx, nil
}

func (r *reader) indexSection(idx *Index, s *ini.Section) {
	what, name, _ := strings.Cut(s.Name(), " ")
	f := &idx.Fleet
	switch what {
	case "index":
		r.allow(s, "revision", "fleet")
	case "ports":
		r.allow(s, "guard", "control")
		f.Ports = fleet.Ports{Guard: r.int(s, "guard"), Control: r.int(s, "control")}
	case "budget":
		r.allow(s, "requests", "bytes", "cross-region-bytes")
		f.Budget = fleet.Budget{
			Requests: r.int(s, "requests"), Bytes: r.int(s, "bytes"), CrossRegionBytes: r.int(s, "cross-region-bytes"),
		}
	case "zone":
		r.allow(s, "region")
		f.Zones = append(f.Zones, fleet.Zone{Name: name, Region: s.Key("region").String()})
	case "team":
		r.allow(s, "in-flight")
		f.Teams = append(f.Teams, fleet.Team{Name: name, InFlight: r.int(s, "in-flight")})
	case "document":
		r.allow(s, "key", "size", "sha256")
		e := Entry{Service: name, Key: s.Key("key").String(), Size: r.int(s, "size"), Digest: s.Key("sha256").String()}
		if len(e.Digest) != sha256.Size*2 || e.Key == "" || e.Size > fleet.MaxDocument {
			r.fail("[%s]: needs a key, a size up to a megabyte and a SHA-256", s.Name())
		}
		idx.Entries = append(idx.Entries, e)
	default:
		r.unknownSection(s)
	}
}

// ParseService parses and checks a service document against its index entry.
func ParseService(e Entry, text []byte) (*Service, error) {
	if len(text) != e.Size || Digest(text) != e.Digest {
		return nil, eris.Errorf("document %s doesn't match its index entry", e.Key)
	}
	doc, err := load(text)
	if err != nil {
		return nil, err
	}
	r := &reader{}
	s := &Service{Entry: e, Text: text}
	for _, sec := range doc.Sections() {
		r.serviceSection(&s.Service, sec)
	}
	if r.err != nil {
		return nil, eris.Wrapf(r.err, "document %s", e.Key)
	}
	if s.Name != e.Service {
		return nil, eris.Errorf("document %s is for service %q, not %q", e.Key, s.Name, e.Service)
	}
	if err := s.Check(); err != nil {
		return nil, eris.Wrapf(err, "document %s", e.Key)
	}
	return s, nil
}

func (r *reader) serviceSection(out *fleet.Service, s *ini.Section) {
	what, name, _ := strings.Cut(s.Name(), " ")
	switch what {
	case "service":
		r.allow(s, "name", "hosts", "team", "policy", "timeout", "max-timeout", "hops",
			"retry-percent", "hedge-percent", "queue", "queue-order", "adaptive", "refusal", "in-flight", "drain", "key-lifetime")
		out.Name = s.Key("name").String()
		out.Hosts = split(s.Key("hosts").String())
		out.Team = s.Key("team").String()
		out.Policy = s.Key("policy").String()
		out.Timeout = r.duration(s, "timeout")
		out.MaxTimeout = r.duration(s, "max-timeout")
		out.Hops = r.int(s, "hops")
		out.RetryPercent = r.int(s, "retry-percent")
		if s.HasKey("hedge-percent") {
			out.HedgePercent = r.int(s, "hedge-percent")
		}
		out.Queue = r.int(s, "queue")
		out.QueueOrder = s.Key("queue-order").MustString(fleet.DefaultQueueOrder)
		out.Adaptive = r.onOff(s, "adaptive", false)
		out.NoRefusal = !r.onOff(s, "refusal", true)
		out.InFlight = r.int(s, "in-flight")
		if s.HasKey("drain") {
			out.Drain = r.duration(s, "drain")
		}
		out.KeyLifetime = r.duration(s, "key-lifetime")
	case "route":
		out.Routes = append(out.Routes, r.route(s, name))
	case "target":
		r.allow(s, "zone", "slots", "connections")
		out.Targets = append(out.Targets, fleet.Target{
			VM: name, Zone: s.Key("zone").String(), Slots: r.int(s, "slots"), Connections: r.int(s, "connections"),
		})
	default:
		r.unknownSection(s)
	}
}

func (r *reader) route(s *ini.Section, name string) fleet.Route {
	r.allow(s, "methods", "path", "runs", "retries", "class", "in-flight")
	runs := s.Key("runs").String()
	if runs != fleet.RunsIdempotent && runs != fleet.RunsAtMostOnce {
		r.fail("[%s] runs: %q (allowed: %s, %s)", s.Name(), runs, fleet.RunsIdempotent, fleet.RunsAtMostOnce)
	}
	route := fleet.Route{
		Name: name, Methods: split(s.Key("methods").String()), Path: s.Key("path").String(),
		Idempotent: runs == fleet.RunsIdempotent, Class: r.int(s, "class"), InFlight: r.int(s, "in-flight"),
	}
	if s.HasKey("retries") {
		route.Retries = r.int(s, "retries")
	}
	return route
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

func load(text []byte) (*ini.File, error) {
	if len(text) > fleet.MaxDocument {
		return nil, eris.Errorf("a document of %d bytes is over the limit of one megabyte", len(text))
	}
	doc, err := ini.LoadSources(ini.LoadOptions{}, text)
	if err != nil {
		return nil, eris.Wrap(err, "not INI")
	}
	return doc, nil
}

// reader keeps the first fault found while a document is read.
type reader struct{ err error }

func (r *reader) fail(format string, args ...any) {
	if r.err == nil {
		r.err = eris.Errorf(format, args...)
	}
}

func (r *reader) unknownSection(s *ini.Section) {
	if s.Name() == ini.DefaultSection && len(s.Keys()) == 0 {
		return
	}
	r.fail("[%s]: unknown section", s.Name())
}

func (r *reader) allow(s *ini.Section, keys ...string) {
	for _, k := range s.Keys() {
		if !slices.Contains(keys, k.Name()) {
			r.fail("[%s] %s: unknown key (allowed: %s)", s.Name(), k.Name(), strings.Join(keys, ", "))
		}
	}
}

func (r *reader) int(s *ini.Section, key string) int {
	v, err := strconv.Atoi(s.Key(key).String())
	if err != nil {
		r.fail("[%s] %s: %q is no whole number", s.Name(), key, s.Key(key).String())
	}
	return v
}

// onOff reads a switch; where it is left out, the fallback holds.
func (r *reader) onOff(s *ini.Section, key string, fallback bool) bool {
	switch v := s.Key(key).String(); v {
	case "":
		return fallback
	case "on":
		return true
	case "off":
		return false
	default:
		r.fail("[%s] %s: %q (allowed: on, off)", s.Name(), key, v)
		return true
	}
}

func (r *reader) uint(s *ini.Section, key string) uint64 {
	v, err := strconv.ParseUint(s.Key(key).String(), 10, 64)
	if err != nil || v == 0 {
		r.fail("[%s] %s: %q is no whole number above 0", s.Name(), key, s.Key(key).String())
	}
	return v
}

func (r *reader) duration(s *ini.Section, key string) time.Duration {
	v, err := time.ParseDuration(s.Key(key).String())
	if err != nil {
		r.fail("[%s] %s: %q is no duration", s.Name(), key, s.Key(key).String())
	}
	return v
}

func split(list string) []string {
	if list == "" {
		return nil
	}
	return strings.Split(list, ",")
}
