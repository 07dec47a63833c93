package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

// record is the list of what was sent, run and answered.
type record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
	lines []line
}

// line is one entry of the record.
type line struct {
	at        time.Duration
	event, id string
	details   string
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	return &record{file: f, began: time.Now()}, err
}

// add adds a line with pairs of names and values.
func (r *record) add(event, id string, pairs ...string) {
	var details strings.Builder
	for i := 0; i+1 < len(pairs); i += 2 {
		fmt.Fprintf(&details, " %s=%s", pairs[i], pairs[i+1])
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	l := line{time.Since(r.began), event, id, details.String()}
	r.lines = append(r.lines, l)
	_, _ = fmt.Fprintf(r.file, "%9.3f %s %s%s\n", l.at.Seconds(), l.event, l.id, l.details)
}

// say adds a line that belongs to no request, and prints it.
func (r *record) say(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	fmt.Println(text)
	r.add("--", text)
}

// count returns how many lines of an event there are for a request.
func (r *record) count(event, id string) (n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, l := range r.lines {
		if l.event == event && l.id == id {
			n++
		}
	}
	return n
}
