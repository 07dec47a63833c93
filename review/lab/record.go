// Package lab has what the cases share: a record, nodes as separate processes, and small stand-ins for the
// platform's store, for targets and for clients, all on loopback addresses.
package lab

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// Record writes what was sent, answered and run, one line each, with the seconds since its start.
type Record struct {
	mu    sync.Mutex
	start time.Time
	file  *os.File
	w     *bufio.Writer
}

// NewRecord creates the file at path.
func NewRecord(path string) (*Record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{start: time.Now(), file: f, w: bufio.NewWriter(f)}, nil
}

// Since returns the time since the start of the record.
func (r *Record) Since(t time.Time) time.Duration { return t.Sub(r.start) }

// Printf writes a line.
func (r *Record) Printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.w, "%9.4f ", time.Since(r.start).Seconds())
	fmt.Fprintf(r.w, format, args...)
	_ = r.w.WriteByte('\n')
}

// Close writes what is buffered.
func (r *Record) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.w.Flush()
	_ = r.file.Close()
}
