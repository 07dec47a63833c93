package lab

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is an entry of the store or the removal of one.
type item struct {
	Key        string `json:"key"`
	Value      []byte `json:"value,omitempty"`
	Rev        uint64 `json:"rev"`
	CreatedRev uint64 `json:"created_rev,omitempty"`
	Lease      int    `json:"lease"`
	Removed    bool   `json:"removed,omitempty"`
}

type page struct {
	Items      []item `json:"items,omitempty"`
	Events     []item `json:"events,omitempty"`
	Truncated  bool   `json:"truncated"`
	CurrentRev uint64 `json:"current_rev"`
}

// Store is a stand-in for the platform's store. It answers at once, loses nothing and keeps its whole history.
// It closes the connection after each answer.
type Store struct {
	record  *Record
	server  *http.Server
	addr    string
	mu      sync.Mutex
	rev     uint64
	items   map[string]item
	history []item
	changed chan struct{}
	// waiting are the watches that wait for a change; closing one cuts it.
	waiting map[chan struct{}]string
	// cutAfter is how long a watch waits before it is cut; 0 is never.
	cutAfter time.Duration
}

// StartStore starts a Store on an address.
func StartStore(addr string, r *Record) (*Store, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	s := &Store{
		record: r, addr: l.Addr().String(), rev: 100, items: map[string]item{}, changed: make(chan struct{}),
		waiting: map[chan struct{}]string{},
	}
	s.server = &http.Server{Handler: s}
	go func() { _ = s.server.Serve(l) }()
	return s, nil
}

// Addr returns the address at which the Store listens.
func (s *Store) Addr() string { return s.addr }

// Close stops the Store.
func (s *Store) Close() { _ = s.server.Close() }

// Put writes an entry; a nil value removes it. It returns the revision of the change.
func (s *Store) Put(key string, value []byte) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.put(key, value)
}

func (s *Store) put(key string, value []byte) uint64 {
	s.rev++
	old := s.items[key]
	it := item{Key: key, Value: value, Rev: s.rev, CreatedRev: max(old.CreatedRev, 1), Removed: value == nil}
	if old.Rev == 0 {
		it.CreatedRev = s.rev
	}
	if value == nil {
		delete(s.items, key)
	} else {
		s.items[key] = it
	}
	s.history = append(s.history, it)
	close(s.changed)
	s.changed = make(chan struct{})
	return s.rev
}

// SetCutAfter makes each watch be cut that has waited for a time; 0 is never.
func (s *Store) SetCutAfter(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cutAfter = d
}

// CutWatches cuts all watches that wait.
func (s *Store) CutWatches() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cut()
}

func (s *Store) cut() {
	for c := range s.waiting {
		close(c)
		delete(s.waiting, c)
	}
}

// CutWatchesAndRemove cuts all watches that wait, and at the same moment removes an entry. It returns the revision
// of the change.
func (s *Store) CutWatchesAndRemove(key string) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cut()
	return s.put(key, nil)
}

// Waiting returns how many watches wait.
func (s *Store) Waiting() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.waiting)
}

// ServeHTTP answers a call.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	switch r.URL.Path {
	case "/kv-range":
		s.send(w, s.list(q.Get("prefix"), q.Get("after")))
	case "/kv-watch":
		after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
		wait, _ := strconv.Atoi(q.Get("wait_ms"))
		p, ok := s.watch(r, q.Get("prefix"), after, time.Duration(wait)*time.Millisecond)
		if !ok {
			// Closes the connection without an answer.
			panic(http.ErrAbortHandler)
		}
		s.send(w, p)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *Store) send(w http.ResponseWriter, p page) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Connection", "close")
	_ = json.NewEncoder(w).Encode(p)
}

const pageItems = 500

func (s *Store) list(prefix, after string) page {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := page{CurrentRev: s.rev}
	for key, it := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			p.Items = append(p.Items, it)
		}
	}
	sort.Slice(p.Items, func(i, j int) bool { return p.Items[i].Key < p.Items[j].Key })
	if len(p.Items) > pageItems {
		p.Items, p.Truncated = p.Items[:pageItems], true
	}
	return p
}

// watch waits for changes. It returns false if it was cut.
func (s *Store) watch(r *http.Request, prefix string, after uint64, wait time.Duration) (page, bool) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	var cutTimer <-chan time.Time
	cut := make(chan struct{})
	defer func() {
		s.mu.Lock()
		delete(s.waiting, cut)
		s.mu.Unlock()
	}()
	for done := wait == 0; ; {
		s.mu.Lock()
		p := page{CurrentRev: s.rev}
		for _, it := range s.history {
			if it.Rev > after && strings.HasPrefix(it.Key, prefix) {
				p.Events = append(p.Events, it)
			}
		}
		changed := s.changed
		if len(p.Events) > 0 || done {
			s.mu.Unlock()
			return p, true
		}
		s.waiting[cut] = r.RemoteAddr
		if s.cutAfter > 0 && cutTimer == nil {
			cutTimer = time.After(s.cutAfter)
		}
		s.mu.Unlock()
		select {
		case <-changed:
		case <-cut:
			s.record.Printf("store cuts the watch of %s", r.RemoteAddr)
			return page{}, false
		case <-cutTimer:
			s.record.Printf("store cuts the watch of %s", r.RemoteAddr)
			return page{}, false
		case <-r.Context().Done():
			return page{}, false
		case <-timer.C:
			done = true
		}
	}
}
