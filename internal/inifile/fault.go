package inifile

import (
	"fmt"
	"strings"

	"gopkg.in/ini.v1"
)

// Fault is one thing wrong with a settings file.
type Fault struct {
	File    string
	Line    int
	Key     string
	Wrong   string
	Allowed string
}

// Error gives the fault in one line: file, line, key, what is wrong, what is allowed.
func (f Fault) Error() string {
	return fmt.Sprintf("%s:%d: %s: %s (allowed: %s)", f.File, f.Line, f.Key, f.Wrong, f.Allowed)
}

// Faults is every fault of a file, in the order of the table of keys.
type Faults []Fault

// Error lists the faults, one a line.
func (fs Faults) Error() string {
	lines := make([]string, len(fs))
	for i, f := range fs {
		lines[i] = f.Error()
	}
	return strings.Join(lines, "\n")
}

// lineIndex maps "section.key" to the line it stands on first, because the INI
// library doesn't keep line numbers; twice holds the line of the second one
// where there is any, of which the library would silently take the last.
func lineIndex(text []byte) (where, twice map[string]int) {
	where, twice = map[string]int{}, map[string]int{}
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
		if where[id] != 0 {
			twice[id] = i + 1
			continue
		}
		where[id] = i + 1
	}
	return where, twice
}
