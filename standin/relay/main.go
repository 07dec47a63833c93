// Command relay simulates the links between availability zones in tests and the
// demo. It forwards TCP connections with a delay and can cut a link, drop the
// bytes of one direction, silence the connections that are open, or limit the
// bandwidth. It counts the bytes of each link. It is not part of a release.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"path"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jessevdk/go-flags"

	"github.com/limpetdock/limpetdock/internal/upstream"
)

// route forwards connections to Listen to Target.
type route struct {
	Listen  string  `json:"listen"`
	Target  string  `json:"target"`
	From    string  `json:"from"`
	To      string  `json:"to"`
	DelayMs float64 `json:"delay_ms"`
}

// fault is a fault of the links that match From and To, which are zone names or
// patterns as in path.Match. Cut refuses new connections and closes open ones.
// Drop discards bytes sent from From to To. Silence discards all further bytes
// of the connections that are open when the fault is set. BytesPerSec is the
// bandwidth of the whole link; if it is set for both directions, they share it.
// Hold delays bytes sent from From to To on connections to Port, after the
// first HoldAfter bytes of a write, until the fault is removed.
type fault struct {
	From         string  `json:"from"`
	To           string  `json:"to"`
	Cut          bool    `json:"cut"`
	Drop         bool    `json:"drop"`
	Silence      bool    `json:"silence"`
	BytesPerSec  int     `json:"bytes_per_sec"`
	ExtraDelayMs float64 `json:"extra_delay_ms"`
	Hold         bool    `json:"hold"`
	HoldAfter    int     `json:"hold_after"`
	Port         string  `json:"port"`
}

func (f fault) matches(from, to string) bool {
	a, _ := path.Match(f.From, from)
	b, _ := path.Match(f.To, to)
	return a && b
}

type relay struct {
	mu     sync.Mutex
	faults []fault
	pipes  map[*pipe]struct{}
	// passed counts the bytes forwarded, by link.
	passed map[link]*atomic.Uint64
	// limits maps both directions of a link to the same limiter.
	limits map[link]*limiter
}

// link identifies one direction between two zones.
type link struct{ from, to string }

func main() {
	var opts struct {
		Routes string `long:"routes" required:"true" description:"JSON file with the list of routes"`
		Admin  string `long:"admin" required:"true" description:"address for PUT /faults"`
	}
	if _, err := flags.Parse(&opts); err != nil {
		os.Exit(2)
	}
	if err := run(opts.Routes, opts.Admin); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(file, admin string) error {
	text, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	var routes []route
	if err := json.Unmarshal(text, &routes); err != nil {
		return err
	}
	r := newRelay(routes)
	for _, rt := range routes {
		l, err := net.Listen("tcp", rt.Listen)
		if err != nil {
			return err
		}
		go r.accept(l, rt)
	}
	http.HandleFunc("PUT /faults", r.setFaults)
	http.HandleFunc("GET /bytes", r.bytes)
	http.HandleFunc("GET /held", r.serveHeld)
	return http.ListenAndServe(admin, nil)
}

func newRelay(routes []route) *relay {
	r := &relay{pipes: map[*pipe]struct{}{}, passed: map[link]*atomic.Uint64{}, limits: map[link]*limiter{}}
	for _, rt := range routes {
		forward, reverse := link{rt.From, rt.To}, link{rt.To, rt.From}
		r.passed[forward] = &atomic.Uint64{}
		r.passed[reverse] = &atomic.Uint64{}
		if r.limits[forward] == nil {
			r.limits[forward] = &limiter{}
			r.limits[reverse] = r.limits[forward]
		}
	}
	return r
}

// bytes serves the number of bytes forwarded in each direction of each link.
func (r *relay) bytes(w http.ResponseWriter, _ *http.Request) {
	type row struct {
		From  string `json:"from"`
		To    string `json:"to"`
		Bytes uint64 `json:"bytes"`
	}
	rows := []row{}
	for l, n := range r.passed {
		rows = append(rows, row{l.from, l.to, n.Load()})
	}
	_ = json.NewEncoder(w).Encode(rows)
}

// setFaults replaces all faults with the list in the request body.
func (r *relay) setFaults(w http.ResponseWriter, req *http.Request) {
	var list []fault
	if err := json.NewDecoder(req.Body).Decode(&list); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	var added []fault
	for _, f := range list {
		if !slices.Contains(r.faults, f) {
			added = append(added, f)
		}
	}
	r.faults = list
	for p := range r.pipes {
		p.apply(added)
	}
}

// activeFault returns the combination of all faults set from one zone to another.
func (r *relay) activeFault(from, to string) fault {
	r.mu.Lock()
	defer r.mu.Unlock()
	var sum fault
	for _, f := range r.faults {
		if !f.matches(from, to) {
			continue
		}
		sum.Cut = sum.Cut || f.Cut
		sum.Drop = sum.Drop || f.Drop
		sum.BytesPerSec = max(sum.BytesPerSec, f.BytesPerSec)
		sum.ExtraDelayMs += f.ExtraDelayMs
	}
	return sum
}

func (r *relay) accept(l net.Listener, rt route) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		if r.activeFault(rt.From, rt.To).Cut || r.activeFault(rt.To, rt.From).Cut {
			_ = conn.Close()
			continue
		}
		go r.relay(conn, rt)
	}
}

func (r *relay) relay(in net.Conn, rt route) {
	out, err := upstream.DialStream(context.Background(), &net.Dialer{Timeout: time.Second}, rt.Target)
	if err != nil {
		_ = in.Close()
		return
	}
	p := &pipe{relay: r, route: rt, in: in, out: out}
	r.mu.Lock()
	r.pipes[p] = struct{}{}
	r.mu.Unlock()
	var wg sync.WaitGroup
	wg.Go(func() { p.pump(out, in, rt.From, rt.To) })
	wg.Go(func() { p.pump(in, out, rt.To, rt.From) })
	wg.Wait()
	p.close()
	r.mu.Lock()
	delete(r.pipes, p)
	r.mu.Unlock()
}
