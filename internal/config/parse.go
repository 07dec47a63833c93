package config

import (
	"crypto/sha256"
	"strings"

	"github.com/rotisserie/eris"
	"gopkg.in/ini.v1"

	"github.com/limpetdock/limpetdock/fleet"
)

// ParseIndex parses and checks an index document.
func ParseIndex(text []byte) (*Index, error) {
	doc, err := parseINI(text)
	if err != nil {
		return nil, err
	}
	r := &sectionReader{}
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

func (r *sectionReader) indexSection(idx *Index, s *ini.Section) {
	what, name, _ := strings.Cut(s.Name(), " ")
	f := &idx.Fleet
	switch what {
	case "index":
		r.allowKeys(s, "revision", "fleet")
	case "ports":
		r.allowKeys(s, "guard", "control")
		f.Ports = fleet.Ports{Guard: r.int(s, "guard"), Control: r.int(s, "control")}
	case "budget":
		r.allowKeys(s, "requests", "bytes", "cross-region-bytes")
		f.Budget = fleet.Budget{
			Requests: r.int(s, "requests"), Bytes: r.int(s, "bytes"), CrossRegionBytes: r.int(s, "cross-region-bytes"),
		}
	case "zone":
		r.allowKeys(s, "region")
		f.Zones = append(f.Zones, fleet.Zone{Name: name, Region: s.Key("region").String()})
	case "team":
		r.allowKeys(s, "in-flight")
		f.Teams = append(f.Teams, fleet.Team{Name: name, InFlight: r.int(s, "in-flight")})
	case "document":
		r.allowKeys(s, "key", "size", "sha256")
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
	doc, err := parseINI(text)
	if err != nil {
		return nil, err
	}
	r := &sectionReader{}
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

func (r *sectionReader) serviceSection(out *fleet.Service, s *ini.Section) {
	what, name, _ := strings.Cut(s.Name(), " ")
	switch what {
	case "service":
		r.allowKeys(s, "name", "hosts", "team", "policy", "timeout", "max-timeout", "hops",
			"retry-percent", "hedge-percent", "queue", "queue-order", "adaptive", "refusal", "in-flight", "drain", "key-lifetime")
		out.Name = s.Key("name").String()
		out.Hosts = splitList(s.Key("hosts").String())
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
		r.allowKeys(s, "zone", "slots", "connections")
		out.Targets = append(out.Targets, fleet.Target{
			VM: name, Zone: s.Key("zone").String(), Slots: r.int(s, "slots"), Connections: r.int(s, "connections"),
		})
	default:
		r.unknownSection(s)
	}
}

func (r *sectionReader) route(s *ini.Section, name string) fleet.Route {
	r.allowKeys(s, "methods", "path", "runs", "retries", "class", "in-flight")
	runs := s.Key("runs").String()
	if runs != fleet.RunsIdempotent && runs != fleet.RunsAtMostOnce {
		r.fail("[%s] runs: %q (allowed: %s, %s)", s.Name(), runs, fleet.RunsIdempotent, fleet.RunsAtMostOnce)
	}
	route := fleet.Route{
		Name: name, Methods: splitList(s.Key("methods").String()), Path: s.Key("path").String(),
		Idempotent: runs == fleet.RunsIdempotent, Class: r.int(s, "class"), InFlight: r.int(s, "in-flight"),
	}
	if s.HasKey("retries") {
		route.Retries = r.int(s, "retries")
	}
	return route
}
