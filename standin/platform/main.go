// Command platform simulates the platform in tests and the demo: a configuration
// service and a VM list that nodes read and watch. It is not part of a release.
//
// Readers in a zone use /zone/NAME/v1/..., so that faults and addresses can
// differ by zone. Tests publish values and set faults under /admin/.
package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/jessevdk/go-flags"
)

type entry struct {
	version uint64
	text    []byte
}

// vm is an entry of the VM list. Seen maps a zone to the IP under which it
// reaches the VM.
type vm struct {
	Name  string            `json:"name"`
	IP    string            `json:"ip"`
	State string            `json:"state"`
	Seen  map[string]string `json:"seen,omitempty"`
}

// fault is a fault of the platform as seen by the readers of one zone.
type fault struct {
	Down    bool `json:"down"`
	DelayMs int  `json:"delay_ms"`
	// FrozenAt makes reads return the state as of an earlier version; 0 disables it.
	FrozenAt uint64 `json:"frozen_at"`
}

type server struct {
	mu      sync.Mutex
	changed chan struct{}
	version uint64
	values  map[string][]entry
	faults  map[string]fault
	calls   map[string]uint64
}

const vmsKey = "/vms"

func main() {
	var opts struct {
		Listen string `long:"listen" default:"127.0.0.1:8500"`
	}
	if _, err := flags.Parse(&opts); err != nil {
		os.Exit(2)
	}
	s := &server{
		changed: make(chan struct{}), values: map[string][]entry{},
		faults: map[string]fault{}, calls: map[string]uint64{},
	}
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /admin/values/{key...}", s.put)
	mux.HandleFunc("PUT /admin/vms", s.put)
	mux.HandleFunc("PUT /admin/faults/{zone}", s.setFault)
	mux.HandleFunc("GET /admin/state", s.state)
	mux.HandleFunc("GET /v1/{what...}", s.read)
	mux.HandleFunc("GET /zone/{zone}/v1/{what...}", s.read)
	if err := http.ListenAndServe(opts.Listen, mux); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// put publishes a value or the VM list.
func (s *server) put(w http.ResponseWriter, r *http.Request) {
	text, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	key := r.PathValue("key")
	if key == "" {
		key = vmsKey
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.values[key] = append(s.values[key], entry{s.version, text})
	s.notifyWatches()
	_, _ = fmt.Fprintln(w, s.version)
}

// notifyWatches makes all waiting watches check again. The caller holds s.mu.
func (s *server) notifyWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *server) setFault(w http.ResponseWriter, r *http.Request) {
	var f fault
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults[r.PathValue("zone")] = f
	s.notifyWatches()
}

// state serves the version, the number of calls by zone and the faults by zone.
func (s *server) state(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = json.NewEncoder(w).Encode(map[string]any{"version": s.version, "calls": s.calls, "faults": s.faults})
}

func (s *server) read(w http.ResponseWriter, r *http.Request) {
	zone := r.PathValue("zone")
	what := r.PathValue("what")
	key, isValue := strings.CutPrefix(what, "values/")
	if !isValue && what == "vms" {
		key = vmsKey
	}
	s.mu.Lock()
	s.calls[zone]++
	delay := s.faults[zone].DelayMs
	s.mu.Unlock()
	time.Sleep(time.Duration(delay) * time.Millisecond)
	e, code := s.wait(r, zone, key)
	if code != http.StatusOK {
		w.WriteHeader(code)
		return
	}
	w.Header().Set("X-Version", strconv.FormatUint(e.version, 10))
	if key == vmsKey {
		e.text = vmListFor(zone, e)
	}
	_, _ = w.Write(e.text)
}

// wait returns the value visible to a zone and a status code. With ?wait= it
// waits up to that long for a version other than that of ?after=.
func (s *server) wait(r *http.Request, zone, key string) (entry, int) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	hold, _ := time.ParseDuration(r.URL.Query().Get("wait"))
	end := time.After(hold)
	for {
		s.mu.Lock()
		f := s.faults[zone]
		e, ok := s.visible(key, f.FrozenAt)
		changed := s.changed
		s.mu.Unlock()
		if f.Down {
			return entry{}, http.StatusServiceUnavailable
		}
		if !ok && hold == 0 {
			return entry{}, http.StatusNotFound
		}
		if ok && (hold == 0 || e.version != after) {
			return e, http.StatusOK
		}
		select {
		case <-changed:
		case <-end:
			if !ok {
				return entry{}, http.StatusNotFound
			}
			return e, http.StatusOK
		case <-r.Context().Done():
			return entry{}, http.StatusServiceUnavailable
		}
	}
}

func (s *server) visible(key string, frozenAt uint64) (entry, bool) {
	list := s.values[key]
	for i := len(list) - 1; i >= 0; i-- {
		if frozenAt == 0 || list[i].version <= frozenAt {
			return list[i], true
		}
	}
	return entry{}, false
}

// vmListFor returns the VM list with the addresses that a zone uses.
func vmListFor(zone string, e entry) []byte {
	var vms []vm
	if err := json.Unmarshal(e.text, &vms); err != nil {
		return e.text
	}
	for i := range vms {
		if ip := vms[i].Seen[zone]; ip != "" {
			vms[i].IP = ip
		}
		vms[i].Seen = nil
	}
	text, _ := json.Marshal(map[string]any{"version": e.version, "vms": vms})
	return text
}
