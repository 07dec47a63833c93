package inifile

import (
	"fmt"
	"strings"

	"gopkg.in/ini.v1"
)

// Fault is one error in a settings file.
type Fault struct {
	File    string
	Line    int
	Key     string
	Problem string
	Allowed string
}

// Error returns the fault in one line: file, line, key, problem and allowed values.
func (f Fault) Error() string {
	return fmt.Sprintf("%s:%d: %s: %s (allowed: %s)", f.File, f.Line, f.Key, f.Problem, f.Allowed)
}

// Faults lists every error in a file. Duplicate keys come first, then unknown
// keys, then missing and invalid values in the order of the table of keys.
type Faults []Fault

// Error returns the faults, one per line.
func (fs Faults) Error() string {
	lines := make([]string, len(fs))
	for i, f := range fs {
		lines[i] = f.Error()
	}
	return strings.Join(lines, "\n")
}

// indexLines maps "section.key" to the line of its first occurrence, because the INI
// library doesn't keep line numbers. duplicates maps it to the line of the last
// repetition, if any: the library would silently use the value of that line.
func indexLines(text []byte) (first, duplicates map[string]int) {
	first, duplicates = map[string]int{}, map[string]int{}
	section := ini.DefaultSection
	for i, line := range strings.Split(string(text), "\n") {
		line = strings.TrimSpace(line)
		if strings.HasPrefix(line, "#") || strings.HasPrefix(line, ";") {
			continue
		}
		if strings.HasPrefix(line, "[") && strings.HasSuffix(line, "]") {
			section = strings.TrimSpace(line[1 : len(line)-1])
			continue
		}
		key, _, ok := strings.Cut(line, "=")
		if !ok {
			continue
		}
		id := section + "." + strings.TrimSpace(key)
		if first[id] != 0 {
			duplicates[id] = i + 1
			continue
		}
		first[id] = i + 1
	}
	return first, duplicates
}
