package load

import (
	"slices"
	"strings"

	"github.com/rotisserie/eris"
	"gopkg.in/ini.v1"
)

const (
	loadSection = "load"
	kindPrefix  = "kind "
)

var (
	loadKeys = []string{"to", "rate", "duration", "arrivals", "seed", "workers"}
	kindKeys = []string{"service", "method", "path", "weight", "body", "timeout", "chain", "to"}
)

// ReadPlan parses a plan from INI text: a section [load] and a section
// [kind NAME] for each kind of call. Unknown keys are errors. ReadPlan doesn't
// fill in defaults.
func ReadPlan(text []byte) (Plan, error) {
	var p Plan
	file, err := ini.Load(text)
	if err != nil {
		return p, eris.Errorf("the plan isn't valid INI: %v", err)
	}
	for _, s := range file.Sections() {
		switch name := s.Name(); {
		case name == ini.DefaultSection && len(s.Keys()) == 0:
		case name == loadSection:
			err = p.readLoad(s)
		case strings.HasPrefix(name, kindPrefix):
			err = p.readKind(s)
		default:
			err = eris.Errorf("[%s] is unknown; sections are [load] and [kind NAME]", name)
		}
		if err != nil {
			return p, err
		}
	}
	return p, nil
}

func (p *Plan) readLoad(s *ini.Section) error {
	r := newSectionReader(s, loadKeys)
	p.To = r.list("to")
	p.Rate = readKey(r, "rate", "a number", (*ini.Key).Float64)
	p.Duration = readKey(r, "duration", "a duration such as 30s", (*ini.Key).Duration)
	p.Arrivals = Arrivals(s.Key("arrivals").String())
	p.Seed = readKey(r, "seed", "a whole number", (*ini.Key).Uint64)
	p.Workers = readKey(r, "workers", "a whole number", (*ini.Key).Int)
	return r.err
}

func (p *Plan) readKind(s *ini.Section) error {
	r := newSectionReader(s, kindKeys)
	k := Kind{
		Name:    strings.TrimSpace(strings.TrimPrefix(s.Name(), kindPrefix)),
		Service: s.Key("service").String(), Method: s.Key("method").String(), Path: s.Key("path").String(),
		Chain: r.list("chain"), To: r.list("to"),
	}
	k.Weight = readKey(r, "weight", "a whole number", (*ini.Key).Int)
	k.Body = readKey(r, "body", "bytes as a whole number", (*ini.Key).Int)
	k.Timeout = readKey(r, "timeout", "a duration such as 2s", (*ini.Key).Duration)
	p.Kinds = append(p.Kinds, k)
	return r.err
}

// sectionReader parses the keys of a section and keeps the first error.
type sectionReader struct {
	section *ini.Section
	err     error
}

func newSectionReader(s *ini.Section, known []string) *sectionReader {
	r := &sectionReader{section: s}
	for _, k := range s.Keys() {
		if !slices.Contains(known, k.Name()) {
			r.fail(eris.Errorf("[%s] %s is unknown; keys are %s", s.Name(), k.Name(), strings.Join(known, ", ")))
		}
	}
	return r
}

func (r *sectionReader) fail(err error) {
	if r.err == nil {
		r.err = err
	}
}

func (r *sectionReader) list(name string) []string {
	if r.section.Key(name).String() == "" {
		return nil
	}
	return r.section.Key(name).Strings(",")
}

// readKey parses one key. It returns the zero value if the key is absent or invalid.
func readKey[T any](r *sectionReader, name, allowed string, parse func(*ini.Key) (T, error)) T {
	var zero T
	if !r.section.HasKey(name) {
		return zero
	}
	key := r.section.Key(name)
	v, err := parse(key)
	if err != nil {
		r.fail(eris.Errorf("[%s] %s = %q must be %s", r.section.Name(), name, key.String(), allowed))
		return zero
	}
	return v
}
