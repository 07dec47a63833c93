package entry_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/limpetdock/limpetdock/fleet"
	"github.com/limpetdock/limpetdock/internal/budget"
	"github.com/limpetdock/limpetdock/internal/entry"
	"github.com/limpetdock/limpetdock/internal/headers"
	"github.com/limpetdock/limpetdock/internal/kind"
	"github.com/limpetdock/limpetdock/internal/pick"
	"github.com/limpetdock/limpetdock/internal/place"
)

// offer is one copy of a request at a stand-in for the guards.
type offer struct {
	http.ResponseWriter
	r *http.Request
	*hedged
}

// hedged is an entry whose service answers in microseconds as a rule, so that a
// copy of a slower request is sent after the shortest wait there is.
type hedged struct {
	*testing.T
	entry  *entry.Entry
	view   *pick.View
	offers atomic.Int32
	// first is closed when the first copy arrives, came when the second does, gone
	// when the second one's handler has ended.
	first, came, gone chan struct{}
	plays             []func(offer)

	firstOnce, cameOnce, goneOnce func()
}

// share is how many of 100 requests may be hedged.
const share = 5

// newHedged plays the first copy by the first of plays, the second by the
// second, and tries after those by the third; the last of plays goes on.
func newHedged(t *testing.T, change func(*fleet.Service), plays ...func(offer)) *hedged {
	f := fleet.Fleet{
		Name: "shop", Revision: 1, Zones: []fleet.Zone{{Name: "a", Region: "r"}}, Teams: []fleet.Team{{Name: "store"}},
		Services: []fleet.Service{{Name: "orders", Team: "store", Timeout: 10 * time.Minute, HedgePercent: share, Routes: []fleet.Route{
			{Name: "read", Methods: []string{"GET", "PUT"}, Path: "/*", Idempotent: true},
		}}},
	}
	for i := range 4 {
		f.Services[0].Targets = append(f.Services[0].Targets, fleet.Target{VM: fmt.Sprint("vm-", i), Zone: "a", Slots: 4})
	}
	change(&f.Services[0])
	h := &hedged{T: t, plays: plays, first: make(chan struct{}), came: make(chan struct{}), gone: make(chan struct{})}
	h.firstOnce = sync.OnceFunc(func() { close(h.first) })
	h.cameOnce = sync.OnceFunc(func() { close(h.came) })
	h.goneOnce = sync.OnceFunc(func() { close(h.gone) })
	server := httptest.NewServer(h)
	t.Cleanup(server.Close)
	c := assemble(t, f)
	var targets []*pick.Target
	for _, declared := range c.Services["orders"].Targets {
		targets = append(targets, &pick.Target{
			Place: pick.Place{VM: declared.VM, Zone: "a", Region: "r"}, Slots: 4, Connections: 200,
			Distance: place.SameZone, Guard: strings.TrimPrefix(server.URL, "http://"), Stat: &pick.Stat{},
		})
	}
	s := pick.NewService(c.Services["orders"], targets, targets, len(targets), &pick.Shared{})
	for range 64 {
		s.Took(100 * time.Microsecond)
	}
	h.view = &pick.View{Config: c, Here: pick.Place{VM: "x", Zone: "a", Region: "r"}, Services: map[string]*pick.Service{"orders": s}}
	start := time.Now()
	h.entry = entry.New(entry.Config{Peers: patientPeers{}, Observer: nobody{}, Now: func() time.Duration { return time.Since(start) }})
	h.entry.SetView(h.view)
	t.Cleanup(h.entry.Close)
	return h
}

// ServeHTTP takes a copy as a guard does.
func (h *hedged) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.offers.Add(1)
	// The first copy carries all of the chain's retries, wherever it arrives first.
	left, _ := strconv.Atoi(r.Header.Get(headers.RetriesLeft))
	n := budget.ChainRetries - left
	switch n {
	case 0:
		h.firstOnce()
	case 1:
		h.cameOnce()
		defer h.goneOnce()
	}
	// The context of a request ends with its connection only once its body is read.
	_, _ = io.Copy(io.Discard, r.Body)
	if n == 1 && len(h.plays) > 1 {
		// On a busy machine the second copy may be here before the first one is sent,
		// and its answer would call that one back unsent.
		offer{w, r, h}.await(h.first)
	}
	w.Header().Set(headers.Exchange, r.Header.Get(headers.Exchange))
	w.Header().Set("X-Seen", r.Header.Get(headers.RetriesLeft))
	h.plays[min(n, len(h.plays)-1)](offer{w, r, h})
}

func (h *hedged) ask(method, body string, pairs ...string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(method, "/x", strings.NewReader(body))
	r.Header.Set(headers.Service, "orders")
	for i := 0; i < len(pairs); i += 2 {
		r.Header.Set(pairs[i], pairs[i+1])
	}
	w := httptest.NewRecorder()
	h.entry.ServeHTTP(w, r)
	// Copies that lost are waited for, as by a node that stops.
	h.entry.WaitCopies(h.Context())
	return w
}

func (h *hedged) counts() budget.HedgeCounts { return h.entry.RetryUses()[0].Hedges }

// inFlight is how many copies the entry waits for.
func (h *hedged) inFlight() (n int32) {
	for _, t := range h.view.Services["orders"].Targets {
		n += t.Stat.InFlight.Load()
	}
	return n
}

// await waits for c, or for the copy to be cancelled.
func (o offer) await(c <-chan struct{}) {
	select {
	case <-c:
	case <-o.r.Context().Done():
	}
}

func says(text string) func(offer) {
	return func(o offer) { _, _ = io.WriteString(o, text) }
}

// freezes answers only to being cancelled.
func freezes(o offer) { <-o.r.Context().Done() }

func breaks(offer) { panic(http.ErrAbortHandler) }

// cuts breaks off within the body.
func cuts(o offer) {
	o.Header().Set("Content-Length", "100")
	says("half")(o)
	_ = http.NewResponseController(o).Flush()
	breaks(o)
}

func fails(o offer) { o.WriteHeader(http.StatusInternalServerError) }

func refuses(o offer) { kind.Write(o, kind.New(kind.Overloaded, "full")) }

func dies(o offer) {
	o.Header().Set(headers.Death, "7")
	kind.Write(o, kind.New(kind.BackendDied, "died"))
}

// once waits for the second copy to arrive, then does as then says.
func once(then func(offer)) func(offer) {
	return func(o offer) {
		o.await(o.came)
		then(o)
	}
}

// alone waits until the second copy has failed, then does as then says.
func alone(then func(offer)) func(offer) {
	return func(o offer) {
		o.await(o.gone)
		for o.inFlight() > 1 && o.r.Context().Err() == nil {
			time.Sleep(time.Millisecond)
		}
		then(o)
	}
}

// after waits until the first copy's fate is known to the entry.
func after(then func(offer)) func(offer) {
	return func(o offer) {
		for o.inFlight() > 1 && o.r.Context().Err() == nil {
			time.Sleep(time.Millisecond)
		}
		then(o)
	}
}

func unchanged(*fleet.Service) {}
