package entry_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"net/url"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetdock/limpetdock/fleet"
	"github.com/limpetdock/limpetdock/internal/config"
	"github.com/limpetdock/limpetdock/internal/entry"
	"github.com/limpetdock/limpetdock/internal/guard"
	"github.com/limpetdock/limpetdock/internal/headers"
	"github.com/limpetdock/limpetdock/internal/metrics"
	"github.com/limpetdock/limpetdock/internal/pick"
	"github.com/limpetdock/limpetdock/internal/place"
)

const benchService = "bench"

// benchView returns the view of one service on one VM, whose guard is at addr, as seen by the
// node on the VM here. others are additional targets.
func benchView(b *testing.B, here, addr string, others ...*pick.Target) *pick.View {
	f := fleet.Fleet{
		Name: "bench", Revision: 1, Zones: []fleet.Zone{{Name: "z", Region: "r"}}, Teams: []fleet.Team{{Name: "t"}},
		Services: []fleet.Service{{
			Name: benchService, Team: "t", HedgePercent: 5, Targets: []fleet.Target{{VM: "one", Zone: "z", Slots: 100}},
			Routes: []fleet.Route{{Name: "read", Methods: []string{"GET"}, Path: "/*", Idempotent: true}},
		}},
	}
	pub, err := f.Print()
	require.NoError(b, err)
	docs := map[string][]byte{pub.Index.Key: pub.Index.Text}
	for _, d := range pub.Services {
		docs[d.Key] = d.Text
	}
	c, err := config.FromDocuments(docs)
	require.NoError(b, err)
	t := &pick.Target{
		Place: pick.Place{VM: "one", Zone: "z", Region: "r"}, Slots: 100, Connections: 200, Guard: addr, Stat: &pick.Stat{},
	}
	place := pick.Place{VM: here, Zone: "z", Region: "r"}
	t.Distance = place.DistanceTo(t.Place)
	svc := c.Services[benchService]
	s := pick.NewService(svc, append([]*pick.Target{t}, others...), []*pick.Target{t}, 1+len(others), &pick.Shared{})
	s.Stamp = c.Stamp(svc, here).String()
	return &pick.View{Config: c, Here: place, Services: map[string]*pick.Service{benchService: s}}
}

func address(s *httptest.Server) string { return strings.TrimPrefix(s.URL, "http://") }

// bench sends GET requests to addr one after another over one persistent connection.
func bench(b *testing.B, addr string, extra map[string]string) {
	transport := &http.Transport{DisableCompression: true}
	defer transport.CloseIdleConnections()
	b.ReportAllocs()
	for b.Loop() {
		req, _ := http.NewRequest(http.MethodGet, "http://"+addr+"/x", nil)
		req.Header.Set(headers.Service, benchService)
		req.Header.Set(headers.TimeoutMs, "2000")
		req.Header.Set(headers.RequestID, "f47ac10b-58cc-4372-a567-0e02b2c3d479")
		for k, v := range extra {
			req.Header.Set(k, v)
		}
		resp, err := transport.RoundTrip(req)
		if err != nil {
			b.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		if resp.StatusCode != http.StatusOK {
			b.Fatal(resp.Status)
		}
	}
}

type benchServers struct {
	backend, guard, local, remote, hedged string
}

// newBenchServers starts a backend server, its guard, the entry on the same node and entries
// on another VM, each with its own listener in this process.
func newBenchServers(b *testing.B) benchServers {
	start := time.Now()
	now := func() time.Duration { return time.Since(start) }
	serve := func(h http.Handler) string {
		s := httptest.NewServer(h)
		b.Cleanup(s.Close)
		return address(s)
	}
	var p benchServers
	p.backend = serve(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, `{"answer":"a small one"}`)
	}))
	g := guard.New(&url.URL{Scheme: "http", Host: p.backend}, 1, now)
	b.Cleanup(g.Close)
	p.guard = serve(g)
	local := benchView(b, "one", p.guard)
	g.SetView(local)
	for _, side := range []struct {
		addr *string
		view *pick.View
	}{
		{&p.local, local},
		{&p.remote, benchView(b, "two", p.guard)},
		// No request is ever sent to a target without an address.
		{&p.hedged, benchView(b, "two", p.guard, &pick.Target{Distance: place.SameZone, Stat: &pick.Stat{}})},
	} {
		e := entry.New(entry.Config{Local: g, Seal: g.Seal, Observer: metrics.New(), Now: now})
		e.SetView(side.view)
		b.Cleanup(e.Close)
		*side.addr = serve(e)
	}
	return p
}

// BenchmarkHop measures a call directly to a backend server, through the guard, through entry
// and guard of one node, and through the entry of another node.
func BenchmarkHop(b *testing.B) {
	p := newBenchServers(b)
	b.Run("direct", func(b *testing.B) { bench(b, p.backend, nil) })
	b.Run("guard", func(b *testing.B) { bench(b, p.guard, map[string]string{headers.Exchange: "x-1"}) })
	b.Run("entry+guard-local", func(b *testing.B) { bench(b, p.local, nil) })
	b.Run("entry+guard-remote", func(b *testing.B) { bench(b, p.remote, nil) })
	b.Run("entry+guard-remote-hedged", func(b *testing.B) { bench(b, p.hedged, nil) })
}
