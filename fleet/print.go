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

// IndexKey is the platform key of the index document.
const IndexKey = "index"

// Document is one value to publish on the platform.
type Document struct {
	// Key is the platform key of the document. Keys of service documents contain the
	// digest, so publishing never overwrites a document in use.
	Key  string
	Text []byte
}

// Publication is a printed configuration. Operators publish Services first and Index
// last, so that all documents listed in a visible index exist.
type Publication struct {
	Index    Document
	Services []Document
}

// Print applies defaults, checks the declaration and prints its documents. The error
// for an invalid declaration is Faults, which also lists documents that are too large.
func (f Fleet) Print() (*Publication, error) {
	f = f.WithDefaults()
	faults := f.faults()
	f = f.sorted()
	pub := &Publication{}
	index := f.indexFile()
	for _, s := range f.Services {
		doc, err := s.document(&faults)
		if err != nil {
			return nil, err
		}
		pub.Services = append(pub.Services, doc)
		sum := sha256.Sum256(doc.Text)
		addSection(index, "document "+s.Name, "",
			pair{"key", doc.Key, ""}, intPair("size", len(doc.Text), ""), pair{"sha256", hex.EncodeToString(sum[:]), ""})
	}
	text, err := render("index", index, &faults)
	if err != nil {
		return nil, err
	}
	pub.Index = Document{Key: IndexKey, Text: text}
	if err := faults.asError(); err != nil {
		return nil, err
	}
	return pub, nil
}

// sorted returns a copy in which all lists whose order is not significant are sorted
// by name, so that a declaration built from maps always prints the same documents.
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

// pair is one key of a section, with an optional comment that explains it.
type pair struct{ key, value, comment string }

// addSection adds a section to doc; it omits keys with empty values.
func addSection(doc *ini.File, name, comment string, pairs ...pair) {
	// NewSection fails only for an empty name, which Check refuses.
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

func (f Fleet) indexFile() *ini.File {
	doc := ini.Empty()
	addSection(doc, "index", "; revisions only ever rise; a node refuses a lower one",
		pair{"revision", strconv.FormatUint(f.Revision, 10), ""}, pair{"fleet", f.Name, ""})
	addSection(doc, "ports", "; TCP ports of every node, next to its VM's IP",
		intPair("guard", f.Ports.Guard, ""), intPair("control", f.Ports.Control, ""))
	addSection(doc, "budget", "; measuring load, for each node: per second, bytes as sent",
		intPair("requests", f.Budget.Requests, ""), intPair("bytes", f.Budget.Bytes, ""),
		intPair("cross-region-bytes", f.Budget.CrossRegionBytes, "; the part of bytes that may cross regions"))
	for _, z := range f.Zones {
		addSection(doc, "zone "+z.Name, "", pair{"region", z.Region, ""})
	}
	for i, t := range f.Teams {
		addSection(doc, "team "+t.Name, ifFirst(i, "; in-flight: requests at once at each node, 0 is no limit"),
			intPair("in-flight", t.InFlight, ""))
	}
	return doc
}

func (s Service) document(faults *Faults) (Document, error) {
	doc := ini.Empty()
	addSection(doc, "service", "; durations have units: ms, s, m, h", s.pairs()...)
	for i, r := range s.Routes {
		addSection(doc, "route "+r.Name, ifFirst(i, routeComment), r.pairs()...)
	}
	for i, t := range s.Targets {
		addSection(doc, "target "+t.VM, ifFirst(i, "; slots: requests run at once; connections: accepted at once"),
			pair{"zone", t.Zone, ""}, intPair("slots", t.Slots, ""), intPair("connections", t.Connections, ""))
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
		durationPair("timeout", s.Timeout, "; the deadline of a request that brings none"),
		durationPair("max-timeout", s.MaxTimeout, "; the longest deadline a caller may ask for"),
		intPair("hops", s.Hops, "; targets that one request may be offered to"),
		intPair("retry-percent", s.RetryPercent, "; retries as a share of requests, in percent"),
		{"hedge-percent", hedges, "; slow reads sent to a second target too, in percent of requests"},
		intPair("queue", s.Queue, "; requests that may wait at each target"),
		{"queue-order", s.QueueOrder, "; who of them runs next: fifo, lifo (newest first once the queue stands) or deadline"},
		{"adaptive", onOff(s.Adaptive), "; on runs fewer requests at once while a backend server is slow"},
		{"refusal", onOff(!s.NoRefusal), "; off queues what would be refused; for comparison only"},
		intPair("in-flight", s.InFlight, "; requests at once at each node, 0 is no limit"),
		durationPair("drain", s.Drain, "; how long a stopping node lets requests in flight finish"),
		durationPair("key-lifetime", s.KeyLifetime, "; how long a caller may send a key of its own again"),
	}
}

// The values of the key "runs" of a route in a document.
const (
	RunsIdempotent = "idempotent"
	RunsAtMostOnce = "at-most-once"
)

// Runs returns RunsIdempotent or RunsAtMostOnce, as documents contain it.
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
		pairs = append(pairs, intPair("retries", r.Retries, "; other targets after the first"))
	}
	return append(pairs, intPair("class", r.Class, ""), intPair("in-flight", r.InFlight, ""))
}

// ifFirst returns comment for the first section of a kind, and "" for all others.
func ifFirst(i int, comment string) string {
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

func intPair(key string, v int, comment string) pair { return pair{key, strconv.Itoa(v), comment} }

func durationPair(key string, v time.Duration, comment string) pair {
	return pair{key, v.String(), comment}
}
