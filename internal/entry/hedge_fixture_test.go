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

// hedgeAttempt is one copy of a request at the server that replaces the guards.
type hedgeAttempt struct {
	http.ResponseWriter
	r *http.Request
	*hedgeFixture
}

// hedgeFixture is an entry whose service usually answers in microseconds, so that a copy of a
// slower request is sent after the shortest possible delay.
type hedgeFixture struct {
	*testing.T
	entry    *entry.Entry
	view     *pick.View
	attempts atomic.Int32
	// firstArrived is closed when the first copy arrives, secondArrived when the second does,
	// and secondEnded when the second one's handler has returned.
	firstArrived, secondArrived, secondEnded chan struct{}
	handlers                                 []func(hedgeAttempt)

	firstArrivedOnce, secondArrivedOnce, secondEndedOnce func()
}

// hedgePercent is how many of 100 requests may be hedged.
const hedgePercent = 5

// newHedgeFixture serves the first copy with the first handler, the second copy with the
// second, and retries with the third; the last handler also serves all further attempts.
func newHedgeFixture(t *testing.T, change func(*fleet.Service), handlers ...func(hedgeAttempt)) *hedgeFixture {
	f := fleet.Fleet{
		Name: "shop", Revision: 1, Zones: []fleet.Zone{{Name: "a", Region: "r"}}, Teams: []fleet.Team{{Name: "store"}},
		Services: []fleet.Service{{Name: "orders", Team: "store", Timeout: 10 * time.Minute, HedgePercent: hedgePercent, Routes: []fleet.Route{
			{Name: "read", Methods: []string{"GET", "PUT"}, Path: "/*", Idempotent: true},
		}}},
	}
	for i := range 4 {
		f.Services[0].Targets = append(f.Services[0].Targets, fleet.Target{VM: fmt.Sprint("vm-", i), Zone: "a", Slots: 4})
	}
	change(&f.Services[0])
	h := &hedgeFixture{T: t, handlers: handlers, firstArrived: make(chan struct{}), secondArrived: make(chan struct{}), secondEnded: make(chan struct{})}
	h.firstArrivedOnce = sync.OnceFunc(func() { close(h.firstArrived) })
	h.secondArrivedOnce = sync.OnceFunc(func() { close(h.secondArrived) })
	h.secondEndedOnce = sync.OnceFunc(func() { close(h.secondEnded) })
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
		s.RecordDuration(100 * time.Microsecond)
	}
	h.view = &pick.View{Config: c, Here: pick.Place{VM: "x", Zone: "a", Region: "r"}, Services: map[string]*pick.Service{"orders": s}}
	start := time.Now()
	h.entry = entry.New(entry.Config{Peers: runningPeers{}, Observer: discardObserver{}, Now: func() time.Duration { return time.Since(start) }})
	h.entry.SetView(h.view)
	t.Cleanup(h.entry.Close)
	return h
}

// ServeHTTP handles a copy as a guard does.
func (h *hedgeFixture) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.attempts.Add(1)
	// The first copy carries all retries of the chain, in whichever order the copies arrive.
	left, _ := strconv.Atoi(r.Header.Get(headers.RetriesLeft))
	n := budget.ChainRetries - left
	switch n {
	case 0:
		h.firstArrivedOnce()
	case 1:
		h.secondArrivedOnce()
		defer h.secondEndedOnce()
	}
	// The context of a request ends with its connection only after its body is read.
	_, _ = io.Copy(io.Discard, r.Body)
	if n == 1 && len(h.handlers) > 1 {
		// On a busy machine the second copy may arrive before the first is sent, and its
		// answer would cancel the first before that.
		hedgeAttempt{w, r, h}.await(h.firstArrived)
	}
	w.Header().Set(headers.Exchange, r.Header.Get(headers.Exchange))
	w.Header().Set("X-Seen", r.Header.Get(headers.RetriesLeft))
	h.handlers[min(n, len(h.handlers)-1)](hedgeAttempt{w, r, h})
}

func (h *hedgeFixture) ask(method, body string, pairs ...string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(method, "/x", strings.NewReader(body))
	r.Header.Set(headers.Service, "orders")
	for i := 0; i < len(pairs); i += 2 {
		r.Header.Set(pairs[i], pairs[i+1])
	}
	w := httptest.NewRecorder()
	h.entry.ServeHTTP(w, r)
	// Wait for cancelled copies, as a node does when it stops.
	h.entry.WaitHedges(h.Context())
	return w
}

func (h *hedgeFixture) counts() budget.HedgeCounts { return h.entry.RetryUses()[0].Hedges }

// inFlight returns the number of copies in flight.
func (h *hedgeFixture) inFlight() (n int32) {
	for _, t := range h.view.Services["orders"].Targets {
		n += t.Stat.InFlight.Load()
	}
	return n
}

// await waits for c, or until the copy is cancelled.
func (o hedgeAttempt) await(c <-chan struct{}) {
	select {
	case <-c:
	case <-o.r.Context().Done():
	}
}

func answersWith(text string) func(hedgeAttempt) {
	return func(o hedgeAttempt) { _, _ = io.WriteString(o, text) }
}

// freezes doesn't answer until the copy is cancelled.
func freezes(o hedgeAttempt) { <-o.r.Context().Done() }

func breaks(hedgeAttempt) { panic(http.ErrAbortHandler) }

// truncates aborts the exchange within the body.
func truncates(o hedgeAttempt) {
	o.Header().Set("Content-Length", "100")
	answersWith("half")(o)
	_ = http.NewResponseController(o).Flush()
	breaks(o)
}

func fails(o hedgeAttempt) { o.WriteHeader(http.StatusInternalServerError) }

func refuses(o hedgeAttempt) { kind.Write(o, kind.New(kind.Overloaded, "full")) }

func dies(o hedgeAttempt) {
	o.Header().Set(headers.Death, "7")
	kind.Write(o, kind.New(kind.BackendDied, "died"))
}

// afterSecondArrived waits for the second copy to arrive, then calls then.
func afterSecondArrived(then func(hedgeAttempt)) func(hedgeAttempt) {
	return func(o hedgeAttempt) {
		o.await(o.secondArrived)
		then(o)
	}
}

// afterSecondFailed waits until the second copy has failed, then calls then.
func afterSecondFailed(then func(hedgeAttempt)) func(hedgeAttempt) {
	return func(o hedgeAttempt) {
		o.await(o.secondEnded)
		for o.inFlight() > 1 && o.r.Context().Err() == nil {
			time.Sleep(time.Millisecond)
		}
		then(o)
	}
}

// afterFirstEnded waits until the entry has the result of the first copy, then calls then.
func afterFirstEnded(then func(hedgeAttempt)) func(hedgeAttempt) {
	return func(o hedgeAttempt) {
		for o.inFlight() > 1 && o.r.Context().Err() == nil {
			time.Sleep(time.Millisecond)
		}
		then(o)
	}
}

func unchanged(*fleet.Service) {}
