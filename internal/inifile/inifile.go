// Package inifile reads settings files (INI) by a table of their keys: each key with
// its default, what is allowed and where its value goes. A file with anything wrong is
// refused whole, with every fault and its line.
package inifile

import (
	"slices"
	"strings"

	"gopkg.in/ini.v1"
)

// Field is one key of the settings S and how its value is checked.
type Field[S any] struct {
	Section, Key string
	// Fallback holds where the key is missing, unless it is Required.
	Fallback string
	Required bool
	// Allowed tells operators which values are.
	Allowed string
	// Set checks a value and stores it; its error says what is wrong.
	Set func(s *S, value string) error
}

// Required is a key that has to be there.
func Required[S any](section, key, allowed string, set func(*S, string) error) Field[S] {
	return Field[S]{Section: section, Key: key, Required: true, Allowed: allowed, Set: set}
}

// Optional is a key with a default.
func Optional[S any](section, key, fallback, allowed string, set func(*S, string) error) Field[S] {
	return Field[S]{Section: section, Key: key, Fallback: fallback, Allowed: allowed, Set: set}
}

// Table is all keys of the settings S.
type Table[S any] struct {
	Fields []Field[S]
	// Free are sections whose keys have names of the operators' own.
	Free []string
	// EmptyIsMissing takes a key without a value for one that isn't there, as a
	// template leaves it where it has nothing to fill in.
	EmptyIsMissing bool
}

// Parse checks text and stores its values in s; file is used in messages only. It
// gives the document, for its Free sections. The error is Faults.
func (t Table[S]) Parse(file string, text []byte, s *S) (*ini.File, error) {
	doc, err := ini.LoadSources(ini.LoadOptions{IgnoreInlineComment: t.EmptyIsMissing}, text)
	if err != nil {
		return nil, Faults{{File: file, Line: 1, Key: "file", Wrong: strings.TrimSpace(err.Error()), Allowed: "INI: [section], key = value"}}
	}
	where, twice := lineIndex(text)
	var faults Faults
	for id, line := range twice {
		faults = append(faults, Fault{file, line, id, "stands there twice", "each key once"})
	}
	slices.SortFunc(faults, func(a, b Fault) int { return a.Line - b.Line })
	faults = append(faults, t.unknown(file, doc, where)...)
	for _, f := range t.Fields {
		if fault, ok := t.apply(f, s, file, doc, where); !ok {
			faults = append(faults, fault)
		}
	}
	if len(faults) > 0 {
		return doc, faults
	}
	return doc, nil
}

func (t Table[S]) apply(f Field[S], s *S, file string, doc *ini.File, where map[string]int) (Fault, bool) {
	id := f.Section + "." + f.Key
	fault := Fault{File: file, Line: max(where[id], 1), Key: id, Allowed: f.Allowed}
	section := doc.Section(f.Section)
	// Key adds the one that it is asked for.
	missing := !section.HasKey(f.Key)
	value := section.Key(f.Key).String()
	missing = missing || value == "" && t.EmptyIsMissing
	switch {
	case missing && f.Required:
		fault.Wrong = "missing"
		return fault, false
	case missing:
		value = f.Fallback
	}
	if err := f.Set(s, value); err != nil {
		fault.Wrong = err.Error()
		return fault, false
	}
	return Fault{}, true
}

// unknown lists the keys that no field has: a misspelt one would be without effect.
func (t Table[S]) unknown(file string, doc *ini.File, where map[string]int) Faults {
	known := map[string][]string{}
	var sections []string
	for _, f := range t.Fields {
		if known[f.Section] == nil {
			sections = append(sections, f.Section)
		}
		known[f.Section] = append(known[f.Section], f.Key)
	}
	var faults Faults
	for _, section := range doc.Sections() {
		if slices.Contains(t.Free, section.Name()) {
			continue
		}
		for _, key := range section.Keys() {
			id := section.Name() + "." + key.Name()
			allowed, ok := known[section.Name()]
			if ok && slices.Contains(allowed, key.Name()) {
				continue
			}
			what := strings.Join(allowed, ", ")
			if !ok {
				what = "sections " + strings.Join(append(sections, t.Free...), ", ")
			}
			faults = append(faults, Fault{file, max(where[id], 1), id, "unknown key", what})
		}
	}
	return faults
}
