package fleet

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
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

// Print checks the declaration and prints its documents.
func (f Fleet) Print() (*Publication, error) {
	f = f.WithDefaults()
	if err := f.Check(); err != nil {
		return nil, err
	}
	pub := &Publication{}
	index := f.index()
	for _, s := range f.Services {
		doc, err := s.document()
		if err != nil {
			return nil, err
		}
		pub.Services = append(pub.Services, doc)
		sum := sha256.Sum256(doc.Text)
		section(index, "document "+s.Name, "",
			pair{"key", doc.Key}, pair{"size", strconv.Itoa(len(doc.Text))}, pair{"sha256", hex.EncodeToString(sum[:])})
	}
	text, err := render(index)
	if err != nil {
		return nil, err
	}
	pub.Index = Document{Key: IndexKey, Text: text}
	return pub, nil
}

type pair struct{ key, value string }

// section adds a section; empty values are left out.
func section(doc *ini.File, name, comment string, pairs ...pair) {
	s, _ := doc.NewSection(name)
	s.Comment = comment
	for _, p := range pairs {
		if p.value != "" {
			_, _ = s.NewKey(p.key, p.value)
		}
	}
}

func render(doc *ini.File) ([]byte, error) {
	var out bytes.Buffer
	if _, err := doc.WriteTo(&out); err != nil {
		return nil, eris.Wrap(err, "print document")
	}
	if out.Len() > MaxDocument {
		return nil, Faults{"a document of " + strconv.Itoa(out.Len()) + " bytes is over the platform's limit of one megabyte"}
	}
	return out.Bytes(), nil
}

func (f Fleet) index() *ini.File {
	doc := ini.Empty()
	section(doc, "index", "; revisions only ever rise; a node refuses a lower one",
		pair{"revision", strconv.FormatUint(f.Revision, 10)}, pair{"fleet", f.Name})
	section(doc, "ports", "", num("guard", f.Ports.Guard), num("control", f.Ports.Control))
	section(doc, "budget", "; measuring load, for each node: per second, bytes as sent",
		num("requests", f.Budget.Requests), num("bytes", f.Budget.Bytes),
		num("cross-region-bytes", f.Budget.CrossRegionBytes))
	for _, z := range f.Zones {
		section(doc, "zone "+z.Name, "", pair{"region", z.Region})
	}
	for _, t := range f.Teams {
		section(doc, "team "+t.Name, "", num("in-flight", t.InFlight))
	}
	return doc
}

func (s Service) document() (Document, error) {
	doc := ini.Empty()
	section(doc, "service", "; in-flight limits are for each node, 0 is none; queue is for each target",
		pair{"name", s.Name}, pair{"hosts", strings.Join(s.Hosts, ",")}, pair{"team", s.Team},
		pair{"policy", s.Policy}, dur("timeout", s.Timeout), dur("max-timeout", s.MaxTimeout),
		num("hops", s.Hops), num("retry-percent", s.RetryPercent), num("queue", s.Queue),
		pair{"queue-order", s.QueueOrder}, pair{"refusal", onOff(!s.NoRefusal)},
		num("in-flight", s.InFlight), dur("key-lifetime", s.KeyLifetime))
	for _, r := range s.Routes {
		runs := "at-most-once"
		if r.Idempotent {
			runs = "idempotent"
		}
		section(doc, "route "+r.Name, "", pair{"methods", strings.Join(r.Methods, ",")},
			pair{"path", r.Path}, pair{"runs", runs}, num("class", r.Class), num("in-flight", r.InFlight))
	}
	for _, t := range s.Targets {
		section(doc, "target "+t.VM, "", pair{"zone", t.Zone},
			num("slots", t.Slots), num("connections", t.Connections))
	}
	text, err := render(doc)
	if err != nil {
		return Document{}, err
	}
	sum := sha256.Sum256(text)
	return Document{Key: "service/" + s.Name + "@" + hex.EncodeToString(sum[:8]), Text: text}, nil
}

func onOff(on bool) string {
	if on {
		return "on"
	}
	return "off"
}

func num(key string, v int) pair           { return pair{key, strconv.Itoa(v)} }
func dur(key string, v time.Duration) pair { return pair{key, v.String()} }
