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

// ReadPlan reads a plan from INI text: a section [load] and a section
// [kind NAME] for each kind of call. Keys it doesn't know are errors. Defaults
// aren't filled in yet.
func ReadPlan(text []byte) (Plan, error) {
	var p Plan
	file, err := ini.Load(text)
	if err != nil {
		return p, eris.Errorf("the plan is no INI: %v", err)
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
	r := newReader(s, loadKeys)
	p.To = r.list("to")
	p.Rate = read(r, "rate", "a number", (*ini.Key).Float64)
	p.Duration = read(r, "duration", "a duration such as 30s", (*ini.Key).Duration)
	p.Arrivals = Arrivals(s.Key("arrivals").String())
	p.Seed = read(r, "seed", "a whole number", (*ini.Key).Uint64)
	p.Workers = read(r, "workers", "a whole number", (*ini.Key).Int)
	return r.err
}

func (p *Plan) readKind(s *ini.Section) error {
	r := newReader(s, kindKeys)
	k := Kind{
		Name:    strings.TrimSpace(strings.TrimPrefix(s.Name(), kindPrefix)),
		Service: s.Key("service").String(), Method: s.Key("method").String(), Path: s.Key("path").String(),
		Chain: r.list("chain"), To: r.list("to"),
	}
	k.Weight = read(r, "weight", "a whole number", (*ini.Key).Int)
	k.Body = read(r, "body", "bytes as a whole number", (*ini.Key).Int)
	k.Timeout = read(r, "timeout", "a duration such as 2s", (*ini.Key).Duration)
	p.Kinds = append(p.Kinds, k)
	return r.err
}

// reader reads the keys of a section and keeps the first error.
type reader struct {
	section *ini.Section
	err     error
}

func newReader(s *ini.Section, known []string) *reader {
	r := &reader{section: s}
	for _, k := range s.Keys() {
		if !slices.Contains(known, k.Name()) {
			r.fail(eris.Errorf("[%s] %s is unknown; keys are %s", s.Name(), k.Name(), strings.Join(known, ", ")))
		}
	}
	return r
}

func (r *reader) fail(err error) {
	if r.err == nil {
		r.err = err
	}
}

func (r *reader) list(name string) []string {
	if r.section.Key(name).String() == "" {
		return nil
	}
	return r.section.Key(name).Strings(",")
}

// read reads one key; an absent one gives the zero value.
func read[T any](r *reader, name, allowed string, parse func(*ini.Key) (T, error)) T {
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
