package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeItem is an item of the store as it is sent, or its removal.
type storeItem struct {
	Key        string `json:"key"`
	Value      []byte `json:"value,omitempty"`
	Rev        uint64 `json:"rev"`
	CreatedRev uint64 `json:"created_rev,omitempty"`
	Lease      uint64 `json:"lease"`
	Removed    bool   `json:"removed,omitempty"`
}

const (
	// pageItems and pageBytes bound a page of a range call.
	pageItems = 500
	pageBytes = 1 << 20
	// firstRevision is the revision before the first change.
	firstRevision = 100
)

// store is a stand-in of the platform's metadata store.
type store struct {
	mu      sync.Mutex
	rev     uint64
	items   map[string]storeItem
	history []storeItem
	changed chan struct{}
}

func newStore() *store {
	return &store{rev: firstRevision, items: map[string]storeItem{}, changed: make(chan struct{})}
}

// put writes an item and returns its revision.
func (s *store) put(key string, value any) uint64 {
	text, ok := value.([]byte)
	if !ok {
		text, _ = json.Marshal(value)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	it := storeItem{Key: key, Value: text, Rev: s.rev, CreatedRev: s.rev}
	if old, present := s.items[key]; present {
		it.CreatedRev = old.CreatedRev
	}
	s.items[key] = it
	s.publish(it)
	return s.rev
}

// remove removes an item.
func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	delete(s.items, key)
	s.publish(storeItem{Key: key, Rev: s.rev, Removed: true})
}

func (s *store) publish(it storeItem) {
	s.history = append(s.history, it)
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP answers the reading calls.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(4 * time.Millisecond)
	q := r.URL.Query()
	switch r.URL.Path {
	case "/kv-range":
		writeJSON(w, s.page(q.Get("prefix"), q.Get("after")))
	case "/kv-watch":
		after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
		ms, _ := strconv.Atoi(q.Get("wait_ms"))
		writeJSON(w, s.watch(r, q.Get("prefix"), after, time.Duration(ms)*time.Millisecond))
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) page(prefix, after string) any {
	s.mu.Lock()
	defer s.mu.Unlock()
	var keys []string
	for key := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	items, size := []storeItem{}, 0
	for _, key := range keys {
		it := s.items[key]
		if len(items) == pageItems || len(items) > 0 && size+len(it.Value) > pageBytes {
			break
		}
		items, size = append(items, it), size+len(it.Value)
	}
	return map[string]any{"items": items, "truncated": len(items) < len(keys), "current_rev": s.rev}
}

func (s *store) watch(r *http.Request, prefix string, after uint64, wait time.Duration) any {
	timeout := time.After(wait)
	for {
		s.mu.Lock()
		events := []storeItem{}
		for _, it := range s.history {
			if it.Rev > after && strings.HasPrefix(it.Key, prefix) {
				events = append(events, it)
			}
		}
		rev, changed := s.rev, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			return map[string]any{"events": events, "current_rev": rev}
		}
		select {
		case <-changed:
		case <-timeout:
			return map[string]any{"events": events, "current_rev": rev}
		case <-r.Context().Done():
			return map[string]any{"events": events, "current_rev": rev}
		}
	}
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	text, err := json.Marshal(v)
	if err != nil {
		panic(fmt.Sprint("encode the store's answer: ", err))
	}
	_, _ = w.Write(text)
}
