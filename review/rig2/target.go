package main

import (
	"fmt"
	"hash/fnv"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"
)

// target is a stand-in of a backend server.
type target struct {
	id, service string
	slots       int64
	rec         *record
	running     atomic.Int64
	// work is how long a request takes, by its path's first segment, or the default under "".
	work map[string]time.Duration
}

// ServeHTTP runs a request as the platform's pages say.
func (t *target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	h.Set("Keep-Alive", "timeout=10")
	h.Set("Server-Load", fmt.Sprintf("%d,0,%d,100", t.running.Load(), t.slots))
	if r.URL.Path == healthPath {
		h.Set("Instance-Id", t.id)
		return
	}
	id := r.Header.Get("Request-Id")
	h.Set("Request-Id", id)
	if want := r.Header.Get("Expected-Instance"); want != "" && want != t.id {
		h.Set("Instance-Id", t.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if t.running.Add(1) > t.slots {
		t.running.Add(-1)
		h.Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer t.running.Add(-1)
	t.rec.add("run", id, "target", t.id, "caller", r.Header.Get("Caller-Service"))
	sum := fnv.New64a()
	size, err := io.Copy(sum, r.Body)
	if err != nil {
		t.rec.add("broken-off", id, "target", t.id)
		panic(http.ErrAbortHandler)
	}
	t.wait(r)
	body := fmt.Sprintf("%s %d bytes, sum %x\n", id, size, sum.Sum64())
	h.Set("Server-Signature", signature(t.id, body))
	h.Set("Content-Length", strconv.Itoa(len(body)))
	t.rec.add("ran", id, "target", t.id, "bytes", strconv.FormatInt(size, 10))
	_, _ = io.WriteString(w, body)
}

// wait works on a request for as long as its path says.
func (t *target) wait(r *http.Request) {
	work := t.work[""]
	for prefix, d := range t.work {
		if prefix != "" && len(r.URL.Path) >= len(prefix) && r.URL.Path[:len(prefix)] == prefix {
			work = d
		}
	}
	time.Sleep(work)
}

// signature proves that a body is a target's own.
func signature(id, body string) string {
	sum := fnv.New64a()
	_, _ = io.WriteString(sum, id+body)
	return fmt.Sprintf("%s.%x", id, sum.Sum64())
}
