package fleet

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"gopkg.in/ini.v1"
)

// IndexKey is the platform key under which the index is published.
const IndexKey = "index"

// Document is one value to be published on the platform.
type Document struct {
	// Key is the name under which the platform holds the value. Keys of service
	// documents hold their digest, so publishing never overwrites one in use.
	Key  string
	Text []byte
}

// Publication is a printed configuration. Operators publish Services first
// and Index last, so that whoever sees the index finds what it names.
type Publication struct {
	Index    Document
	Services []Document
}

// Print checks the declaration and prints its documents. The error is Faults
// with everything that is wrong, documents that are too long among it.
func (f Fleet) Print() (*Publication, error) {
	f = f.WithDefaults()
	faults := f.faults()
	f = f.sorted()
	pub := &Publication{}
	index := f.index()
	for _, s := range f.Services {
		doc, err := s.document(&faults)
		if err != nil {
			return nil, err
		}
		pub.Services = append(pub.Services, doc)
		sum := sha256.Sum256(doc.Text)
		section(index, "document "+s.Name, "",
			pair{"key", doc.Key, ""}, num("size", len(doc.Text), ""), pair{"sha256", hex.EncodeToString(sum[:]), ""})
	}
	text, err := render("index", index, &faults)
	if err != nil {
		return nil, err
	}
	pub.Index = Document{Key: IndexKey, Text: text}
	if err := faults.err(); err != nil {
		return nil, err
	}
	return pub, nil
}

// sorted gives a copy in which everything whose order means nothing is ordered
// by name, so that a declaration built from maps prints the same each time.
func (f Fleet) sorted() Fleet {
	f.Zones = sortedBy(f.Zones, func(z Zone) string { return z.Name })
	f.Teams = sortedBy(f.Teams, func(t Team) string { return t.Name })
	f.Services = sortedBy(f.Services, func(s Service) string { return s.Name })
	for i, s := range f.Services {
		f.Services[i].Hosts = sortedBy(s.Hosts, func(h string) string { return h })
		f.Services[i].Targets = sortedBy(s.Targets, func(t Target) string { return t.VM })
	}
	return f
}

func sortedBy[T any](list []T, name func(T) string) []T {
	return slices.SortedStableFunc(slices.Values(list), func(a, b T) int {
		return strings.Compare(name(a), name(b))
	})
}

// pair is one key of a section, with a comment that gives its unit.
type pair struct{ key, value, comment string }

// section adds a section; empty values are left out.
func section(doc *ini.File, name, comment string, pairs ...pair) {
	// The library refuses only an empty name, and Check a name that is one.
	s, err := doc.NewSection(name)
	if err != nil {
		return
	}
	s.Comment = comment
	for _, p := range pairs {
		if p.value == "" {
			continue
		}
		if key, err := s.NewKey(p.key, p.value); err == nil {
			key.Comment = p.comment
		}
	}
}

func render(what string, doc *ini.File, faults *Faults) ([]byte, error) {
	var out bytes.Buffer
	if _, err := doc.WriteTo(&out); err != nil {
		return nil, eris.Wrapf(err, "print %s", what)
	}
	if out.Len() > MaxDocument {
		faults.addf("%s: the document has %d bytes (allowed: up to %d)", what, out.Len(), MaxDocument)
	}
	return out.Bytes(), nil
}

func (f Fleet) index() *ini.File {
	doc := ini.Empty()
	section(doc, "index", "; revisions only ever rise; a node refuses a lower one",
		pair{"revision", strconv.FormatUint(f.Revision, 10), ""}, pair{"fleet", f.Name, ""})
	section(doc, "ports", "; TCP ports of every node, next to its VM's IP",
		num("guard", f.Ports.Guard, ""), num("control", f.Ports.Control, ""))
	section(doc, "budget", "; measuring load, for each node: per second, bytes as sent",
		num("requests", f.Budget.Requests, ""), num("bytes", f.Budget.Bytes, ""),
		num("cross-region-bytes", f.Budget.CrossRegionBytes, "; the part of bytes that may cross regions"))
	for _, z := range f.Zones {
		section(doc, "zone "+z.Name, "", pair{"region", z.Region, ""})
	}
	for i, t := range f.Teams {
		section(doc, "team "+t.Name, first(i, "; in-flight: requests at once at each node, 0 is no limit"),
			num("in-flight", t.InFlight, ""))
	}
	return doc
}

func (s Service) document(faults *Faults) (Document, error) {
	doc := ini.Empty()
	section(doc, "service", "; durations have units: ms, s, m, h", s.pairs()...)
	for i, r := range s.Routes {
		section(doc, "route "+r.Name, first(i, routeComment), r.pairs()...)
	}
	for i, t := range s.Targets {
		section(doc, "target "+t.VM, first(i, "; slots: requests run at once; connections: accepted at once"),
			pair{"zone", t.Zone, ""}, num("slots", t.Slots, ""), num("connections", t.Connections, ""))
	}
	text, err := render("service "+s.Name, doc, faults)
	if err != nil {
		return Document{}, err
	}
	sum := sha256.Sum256(text)
	return Document{Key: "service/" + s.Name + "@" + hex.EncodeToString(sum[:8]), Text: text}, nil
}

const routeComment = "; the first route that matches holds; what none matches runs at most once\n" +
	"; class: 0 to 9, a higher one is refused later; in-flight: at each node, 0 is no limit"

func (s Service) pairs() []pair {
	hedges := ""
	if s.HedgePercent != 0 {
		hedges = strconv.Itoa(s.HedgePercent)
	}
	return []pair{
		{"name", s.Name, ""},
		{"hosts", strings.Join(s.Hosts, ","), ""},
		{"team", s.Team, ""},
		{"policy", s.Policy, ""},
		dur("timeout", s.Timeout, "; the deadline of a request that brings none"),
		dur("max-timeout", s.MaxTimeout, "; the longest deadline a caller may ask for"),
		num("hops", s.Hops, "; targets that one request may be offered to"),
		num("retry-percent", s.RetryPercent, "; retries as a share of requests, in percent"),
		{"hedge-percent", hedges, "; slow reads sent to a second target too, in percent of requests"},
		num("queue", s.Queue, "; requests that may wait at each target"),
		{"queue-order", s.QueueOrder, "; who of them runs next: fifo, lifo (newest first once the queue stands) or deadline"},
		{"adaptive", onOff(s.Adaptive), "; on runs fewer requests at once while a backend server is slow"},
		{"refusal", onOff(!s.NoRefusal), "; off queues what would be refused; for comparison only"},
		num("in-flight", s.InFlight, "; requests at once at each node, 0 is no limit"),
		dur("drain", s.Drain, "; how long a stopping node lets requests in flight finish"),
		dur("key-lifetime", s.KeyLifetime, "; how long a caller may send a key of its own again"),
	}
}

// The words by which a document says how a route's requests run.
const (
	RunsIdempotent = "idempotent"
	RunsAtMostOnce = "at-most-once"
)

// Runs says how the route's requests run, in the word of the documents.
func (r Route) Runs() string {
	if r.Idempotent {
		return RunsIdempotent
	}
	return RunsAtMostOnce
}

func (r Route) pairs() []pair {
	pairs := []pair{
		{"methods", strings.Join(r.Methods, ","), ""},
		{"path", r.Path, ""},
		{"runs", r.Runs(), ""},
	}
	if r.Retries != 0 {
		pairs = append(pairs, num("retries", r.Retries, "; other targets after the first"))
	}
	return append(pairs, num("class", r.Class, ""), num("in-flight", r.InFlight, ""))
}

// first gives the comment for the first section of a kind only.
func first(i int, comment string) string {
	if i > 0 {
		return ""
	}
	return comment
}

func onOff(on bool) string {
	if on {
		return "on"
	}
	return "off"
}

func num(key string, v int, comment string) pair { return pair{key, strconv.Itoa(v), comment} }

func dur(key string, v time.Duration, comment string) pair { return pair{key, v.String(), comment} }
