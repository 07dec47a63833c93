package entry_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetdock/limpetdock/fleet"
	"github.com/limpetdock/limpetdock/internal/budget"
	"github.com/limpetdock/limpetdock/internal/headers"
	"github.com/limpetdock/limpetdock/internal/kind"
	"github.com/limpetdock/limpetdock/internal/suspect"
)

// A crew reads the manifest. The server that has the request slows down, freezes
// or breaks, or the one that got the second copy does. The crew sees one whole
// answer as soon as either server has given one, and an error only when both failed.
func TestTheFirstGoodAnswerHolds(t *testing.T) {
	for name, c := range map[string]struct {
		plays  []func(offer)
		status int
		body   string
		offers int32
	}{
		"first copy freezes":                     {[]func(offer){freezes, says("second")}, 200, "second", 2},
		"first answers, second is in flight":     {[]func(offer){once(says("first")), freezes}, 200, "first", 2},
		"second is refused":                      {[]func(offer){alone(says("first")), refuses}, 200, "first", 2},
		"second breaks off":                      {[]func(offer){alone(says("first")), breaks}, 200, "first", 2},
		"second's answer is cut":                 {[]func(offer){alone(says("first")), cuts}, 200, "first", 2},
		"second answers 500, first comes later":  {[]func(offer){alone(says("first")), fails}, 200, "first", 2},
		"first answers 500, second comes later":  {[]func(offer){once(fails), after(says("second"))}, 200, "second", 2},
		"first breaks off, second comes later":   {[]func(offer){once(breaks), after(says("second"))}, 200, "second", 2},
		"first's answer is cut, second is whole": {[]func(offer){once(cuts), after(says("second"))}, 200, "second", 2},
		"both answer 500":                        {[]func(offer){once(fails), fails}, 500, "", 2},
		"first breaks off, second answers 500":   {[]func(offer){once(breaks), fails}, 500, "", 2},
		"both break off, a third answers":        {[]func(offer){once(breaks), breaks, says("third")}, 200, "third", 3},
		"all break off":                          {[]func(offer){once(breaks), breaks}, 502, "", 3},
		"both are refused":                       {[]func(offer){once(refuses), refuses}, 503, "", 3},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHedged(t, unchanged, c.plays...)
			w := h.ask("GET", "")
			require.Equal(t, c.status, w.Code, w.Body)
			if c.body != "" {
				require.Equal(t, c.body, w.Body.String())
			}
			require.Equal(t, c.offers, h.offers.Load())
			require.EqualValues(t, 1, h.counts().Sent)
			require.Zero(t, h.inFlight(), "each copy is counted out")
		})
	}
}

// The first copy is refused while the second may have run: "not run" would be a lie.
func TestNotRunSpeaksOfBothCopies(t *testing.T) {
	h := newHedged(t, func(s *fleet.Service) { s.Hops = 2 }, alone(refuses), breaks)
	require.Equal(t, string(kind.Unknown), h.ask("GET", "").Header().Get(headers.Outcome))
	h = newHedged(t, func(s *fleet.Service) { s.Hops = 2 }, once(refuses), refuses)
	require.Equal(t, string(kind.NotRun), h.ask("GET", "").Header().Get(headers.Outcome))
}

// A long answer reaches the caller as it comes. Once a part of one copy's has
// gone out, nothing of the other may follow it.
func TestAStreamIsOfOneCopy(t *testing.T) {
	const long = 200 << 10
	stream := func(letter string) func(offer) {
		return func(o offer) {
			says(letter)(o)
			_ = http.NewResponseController(o).Flush()
			says(strings.Repeat(letter, long-1))(o)
		}
	}
	for name, plays := range map[string][]func(offer){
		"b": {freezes, stream("b")}, "a": {once(stream("a")), freezes},
	} {
		h := newHedged(t, unchanged, plays...)
		require.Equal(t, strings.Repeat(name, long), h.ask("GET", "").Body.String(), name)
	}
}

// A request that crashes whatever runs it takes down one server after the
// other. A copy on its way to the second one is called back when the first dies, and
// the request then runs alone, as it would without copies: two servers are
// lost at the most, and both deaths are told.
func TestAKillingReadIsNotHedgedOn(t *testing.T) {
	var alone atomic.Int32
	third := func(o offer) {
		if o.r.Header.Get(headers.Suspect) != "" {
			alone.Add(1)
		}
		dies(o)
	}
	h := newHedged(t, unchanged, once(dies), freezes, third)
	deaths := &deathCount{}
	h.entry.ReportSuspects(deaths)
	w := h.ask("GET", "")
	require.Equal(t, string(kind.BackendDied), w.Header().Get(headers.Kind))
	require.EqualValues(t, 3, h.offers.Load())
	require.EqualValues(t, 1, alone.Load(), "after a death it runs alone")
	require.EqualValues(t, 2, deaths.Load())
}

type deathCount struct{ atomic.Int32 }

func (d *deathCount) Died(uint64, suspect.Death) { d.Add(1) }
func (*deathCount) Cleared(uint64)               {}

// slow answers after several times the wait for a copy.
func slow(o offer) {
	select {
	case <-time.After(25 * time.Millisecond):
	case <-o.r.Context().Done():
	}
	says("slow")(o)
}

// A booking, an upload that streams, a request under a key, or one like those
// that crashed servers takes long. None may run in two places.
func TestWhatIsNeverHedged(t *testing.T) {
	upload := strings.Repeat("x", 65<<10)
	for name, c := range map[string]struct {
		change       func(*fleet.Service)
		method, body string
		pairs        []string
	}{
		"at most once":    {unchanged, "POST", "", nil},
		"under a key":     {unchanged, "PUT", "", []string{headers.IdempotencyKey, "basket-7"}},
		"a streamed body": {unchanged, "PUT", upload, nil},
		"no retries left": {unchanged, "GET", "", []string{headers.RetriesLeft, "0"}},
		"below a copy":    {unchanged, "GET", "", []string{headers.RetriesLeft, "1"}},
		"turned off":      {func(s *fleet.Service) { s.HedgePercent = 0 }, "GET", "", nil},
		"only one target": {func(s *fleet.Service) { s.Targets = s.Targets[:1] }, "GET", "", nil},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHedged(t, c.change, slow)
			h.ask(c.method, c.body, c.pairs...)
			require.Zero(t, h.counts().Sent)
		})
	}
	t.Run("a suspect", func(t *testing.T) {
		h := newHedged(t, unchanged, slow)
		r := httptest.NewRequest("GET", "/x", nil)
		r.Header.Set(headers.Service, "orders")
		view := *h.view
		view.Suspects = suspect.Set{suspect.Fingerprint("orders", r, nil): {Level: suspect.Suspected, Until: time.Hour}}
		h.entry.SetView(&view)
		h.ask("GET", "")
		require.EqualValues(t, 1, h.offers.Load())
	})
	t.Run("a body that is held", func(t *testing.T) {
		h := newHedged(t, unchanged, freezes, says("second"))
		require.Equal(t, "second", h.ask("PUT", "small").Body.String(), "the rule, for comparison")
	})
}

// Every server of a service slows down at once. Copies of all requests would
// double the load that slowed them; a twentieth of them doesn't.
func TestHedgesAreAShareOfTraffic(t *testing.T) {
	h := newHedged(t, unchanged, slow)
	const requests, reserve = 400, 10
	var wg sync.WaitGroup
	for range 20 {
		wg.Go(func() {
			for range requests / 20 {
				r := httptest.NewRequest("GET", "/x", nil)
				r.Header.Set(headers.Service, "orders")
				h.entry.ServeHTTP(httptest.NewRecorder(), r)
			}
		})
	}
	wg.Wait()
	h.entry.WaitCopies(t.Context())
	most := uint64(requests*share/100 + reserve)
	t.Logf("%+v of %d requests", h.counts(), requests)
	require.LessOrEqual(t, h.counts().Sent, most)
	require.LessOrEqual(t, h.offers.Load(), int32(requests+most))
}

// The copy goes down the call chain with one retry less, so that the calls below don't
// pay for retries of their own with it.
func TestACopyIsARetryOfItsChain(t *testing.T) {
	h := newHedged(t, unchanged, freezes, says("second"))
	require.Equal(t, "1", h.ask("GET", "").Header().Get("X-Seen"))
}

// The caller goes away, or its deadline passes, while both copies run.
func TestBothCopiesEndWithTheRequest(t *testing.T) {
	h := newHedged(t, unchanged, freezes)
	w := h.ask("GET", "", headers.TimeoutMs, "300")
	require.Equal(t, string(kind.DeadlineUnknown), w.Header().Get(headers.Kind))
	h = newHedged(t, unchanged, freezes)
	ctx, cancel := context.WithCancel(t.Context())
	r := httptest.NewRequest("GET", "/x", nil).WithContext(ctx)
	r.Header.Set(headers.Service, "orders")
	go func() {
		<-h.came
		cancel()
	}()
	h.entry.ServeHTTP(httptest.NewRecorder(), r)
	h.entry.WaitCopies(t.Context())
	require.Zero(t, h.inFlight())
}

// The copy that lost writes its answer all the same, late. It must reach neither its
// own caller, who has one, nor the next request of another caller on the same connections.
func TestALateCopyReachesNobody(t *testing.T) {
	echo := func(o offer) { says(o.r.Header.Get("X-Id"))(o) }
	h := newHedged(t, unchanged, func(o offer) {
		freezes(o)
		echo(o)
	}, echo)
	for i := range 8 {
		id := fmt.Sprint("caller-", i)
		require.Equal(t, id, h.ask("GET", "", "X-Id", id).Body.String())
	}
	require.EqualValues(t, budget.HedgeCounts{Sent: 8, Won: 8}, h.counts())
}

// The guards have a newer configuration. The request waits for it, is parsed
// anew, and then meets a full target: going on needs the budget that the first
// parse had opened. Without it the handler broke down and the caller got nothing.
func TestAReroutedRequestKeepsItsBudget(t *testing.T) {
	const targets = 4
	var offers atomic.Int32
	h := newHedged(t, func(s *fleet.Service) { s.HedgePercent = 0 }, func(o offer) {
		switch n := offers.Add(1); {
		case n <= targets:
			next, conf := *o.view, *o.view.Config
			next.Config = &conf
			o.entry.SetView(&next)
			kind.Write(o, kind.New(kind.StaleConfig, "newer"))
		case n == targets+1:
			refuses(o)
		default:
			says("done")(o)
		}
	})
	require.Equal(t, "done", h.ask("GET", "").Body.String())
}
