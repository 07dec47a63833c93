// Package inifile parses settings files (INI) according to a table of keys, which
// defines the default, the allowed values and the destination of each key. An
// invalid file is refused as a whole, with every error and its line.
package inifile

import (
	"slices"
	"strings"

	"gopkg.in/ini.v1"
)

// Field describes one key of the settings S.
type Field[S any] struct {
	Section, Key string
	// Default is used if the key is missing, unless the key is Required.
	Default  string
	Required bool
	// Allowed describes the allowed values in error messages.
	Allowed string
	// Set checks a value and stores it; its error describes the problem.
	Set func(s *S, value string) error
}

// Required returns the Field of a key that must be present.
func Required[S any](section, key, allowed string, set func(*S, string) error) Field[S] {
	return Field[S]{Section: section, Key: key, Required: true, Allowed: allowed, Set: set}
}

// Optional returns the Field of a key with a default.
func Optional[S any](section, key, defaultValue, allowed string, set func(*S, string) error) Field[S] {
	return Field[S]{Section: section, Key: key, Default: defaultValue, Allowed: allowed, Set: set}
}

// Table describes all keys of the settings S.
type Table[S any] struct {
	Fields []Field[S]
	// FreeSections are sections whose keys are chosen by operators.
	FreeSections []string
	// EmptyIsMissing treats a key without a value as missing, because templates
	// leave the value empty if they have nothing to fill in.
	EmptyIsMissing bool
}

// Parse checks text and stores its values in s; file is the name used in error
// messages. It returns the document, for access to its FreeSections. The error is
// Faults.
func (t Table[S]) Parse(file string, text []byte, s *S) (*ini.File, error) {
	doc, err := ini.LoadSources(ini.LoadOptions{IgnoreInlineComment: t.EmptyIsMissing}, text)
	if err != nil {
		return nil, Faults{{File: file, Line: 1, Key: "file", Problem: strings.TrimSpace(err.Error()), Allowed: "INI: [section], key = value"}}
	}
	firstLines, duplicates := indexLines(text)
	var faults Faults
	for id, line := range duplicates {
		faults = append(faults, Fault{file, line, id, "stands there twice", "each key once"})
	}
	slices.SortFunc(faults, func(a, b Fault) int { return a.Line - b.Line })
	faults = append(faults, t.unknownKeys(file, doc, firstLines)...)
	for _, f := range t.Fields {
		if fault, ok := t.apply(f, s, file, doc, firstLines); !ok {
			faults = append(faults, fault)
		}
	}
	if len(faults) > 0 {
		return doc, faults
	}
	return doc, nil
}

func (t Table[S]) apply(f Field[S], s *S, file string, doc *ini.File, firstLines map[string]int) (Fault, bool) {
	id := f.Section + "." + f.Key
	fault := Fault{File: file, Line: max(firstLines[id], 1), Key: id, Allowed: f.Allowed}
	section := doc.Section(f.Section)
	// HasKey must come first, because Key adds a missing key.
	missing := !section.HasKey(f.Key)
	value := section.Key(f.Key).String()
	missing = missing || value == "" && t.EmptyIsMissing
	switch {
	case missing && f.Required:
		fault.Problem = "missing"
		return fault, false
	case missing:
		value = f.Default
	}
	if err := f.Set(s, value); err != nil {
		fault.Problem = err.Error()
		return fault, false
	}
	return Fault{}, true
}

// unknownKeys returns a fault for each key that is not in the table, because a
// misspelt key would otherwise be ignored silently.
func (t Table[S]) unknownKeys(file string, doc *ini.File, firstLines map[string]int) Faults {
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
		if slices.Contains(t.FreeSections, section.Name()) {
			continue
		}
		for _, key := range section.Keys() {
			id := section.Name() + "." + key.Name()
			allowed, ok := known[section.Name()]
			if ok && slices.Contains(allowed, key.Name()) {
				continue
			}
			allowedText := strings.Join(allowed, ", ")
			if !ok {
				allowedText = "sections " + strings.Join(append(sections, t.FreeSections...), ", ")
			}
			faults = append(faults, Fault{file, max(firstLines[id], 1), id, "unknown key", allowedText})
		}
	}
	return faults
}
