package config

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"gopkg.in/ini.v1"

	"github.com/limpetdock/limpetdock/fleet"
)

func parseINI(text []byte) (*ini.File, error) {
	if len(text) > fleet.MaxDocument {
		return nil, eris.Errorf("the document has %d bytes (limit: one megabyte)", len(text))
	}
	doc, err := ini.LoadSources(ini.LoadOptions{}, text)
	if err != nil {
		return nil, eris.Wrap(err, "not INI")
	}
	return doc, nil
}

// sectionReader reads the values of a document and keeps the first error.
type sectionReader struct{ err error }

func (r *sectionReader) fail(format string, args ...any) {
	if r.err == nil {
		r.err = eris.Errorf(format, args...)
	}
}

func (r *sectionReader) unknownSection(s *ini.Section) {
	if s.Name() == ini.DefaultSection && len(s.Keys()) == 0 {
		return
	}
	r.fail("[%s]: unknown section", s.Name())
}

func (r *sectionReader) allowKeys(s *ini.Section, keys ...string) {
	for _, k := range s.Keys() {
		if !slices.Contains(keys, k.Name()) {
			r.fail("[%s] %s: unknown key (allowed: %s)", s.Name(), k.Name(), strings.Join(keys, ", "))
		}
	}
}

func (r *sectionReader) int(s *ini.Section, key string) int {
	v, err := strconv.Atoi(s.Key(key).String())
	if err != nil {
		r.fail("[%s] %s: %q is no whole number", s.Name(), key, s.Key(key).String())
	}
	return v
}

// onOff reads a switch; it returns fallback if the key is missing.
func (r *sectionReader) onOff(s *ini.Section, key string, fallback bool) bool {
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

func (r *sectionReader) uint(s *ini.Section, key string) uint64 {
	v, err := strconv.ParseUint(s.Key(key).String(), 10, 64)
	if err != nil || v == 0 {
		r.fail("[%s] %s: %q is no whole number above 0", s.Name(), key, s.Key(key).String())
	}
	return v
}

func (r *sectionReader) duration(s *ini.Section, key string) time.Duration {
	v, err := time.ParseDuration(s.Key(key).String())
	if err != nil {
		r.fail("[%s] %s: %q is no duration", s.Name(), key, s.Key(key).String())
	}
	return v
}

func splitList(list string) []string {
	if list == "" {
		return nil
	}
	return strings.Split(list, ",")
}
