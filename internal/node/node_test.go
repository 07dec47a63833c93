package node

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"net/url"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/go-logr/logr/funcr"
	"github.com/stretchr/testify/require"
	"go.uber.org/fx"
	"go.uber.org/goleak"

	"github.com/limpetdock/limpetdock/fleet"
	"github.com/limpetdock/limpetdock/internal/entry"
	"github.com/limpetdock/limpetdock/internal/guard"
	"github.com/limpetdock/limpetdock/internal/limit"
	"github.com/limpetdock/limpetdock/internal/metrics"
	"github.com/limpetdock/limpetdock/internal/platform"
	"github.com/limpetdock/limpetdock/internal/settings"
)

// Every test stops the nodes that it starts, and a stop must not leak goroutines:
// they would keep connections open or act on outdated state.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// recordedRequest is a request as received by the backend server.
type recordedRequest struct {
	Method, Path, Body string
	Header             http.Header
	Chunked            bool
}

// backend is a backend server that records its requests.
type backend struct {
	*httptest.Server
	mu     sync.Mutex
	got    []recordedRequest
	answer http.HandlerFunc
	// uploads counts the uploads of which some bytes have arrived.
	uploads atomic.Int32
}

func (b *backend) setAnswer(f http.HandlerFunc) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.answer = f
}

func newBackend(t *testing.T) *backend {
	b := &backend{}
	b.Server = httptest.NewServer(http.HandlerFunc(b.serve))
	t.Cleanup(b.Close)
	return b
}

func (b *backend) serve(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/healthz" {
		_, _ = w.Write([]byte(`{"state":"live"}`))
		return
	}
	var body strings.Builder
	buf := make([]byte, 4096)
	for {
		n, err := r.Body.Read(buf)
		if n > 0 && body.Len() == 0 && (r.Method == http.MethodPut || r.ContentLength < 0) {
			b.uploads.Add(1)
		}
		body.Write(buf[:n])
		if err != nil {
			break
		}
	}
	b.mu.Lock()
	b.got = append(b.got, recordedRequest{r.Method, r.URL.Path, body.String(), r.Header.Clone(), len(r.TransferEncoding) > 0})
	answer := b.answer
	b.mu.Unlock()
	if answer != nil {
		answer(w, r)
	}
}

// takeRequests returns the requests recorded since the last call.
func (b *backend) takeRequests() []recordedRequest {
	b.mu.Lock()
	defer b.mu.Unlock()
	got := b.got
	b.got = nil
	return got
}

// newPlatform serves a configuration and a VM list that never change.
func newPlatform(t *testing.T, f fleet.Fleet, vms ...platform.VM) *httptest.Server {
	pub, err := f.Print()
	require.NoError(t, err)
	values := pub.Values()
	list, err := json.Marshal(platform.VMList{Version: 1, VMs: vms})
	require.NoError(t, err)
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get("after") != "" {
			<-r.Context().Done() // a watch on an unchanging value
			return
		}
		w.Header().Set("X-Version", "1")
		if r.URL.Path == "/v1/vms" {
			_, _ = w.Write(list)
			return
		}
		text, ok := values[strings.TrimPrefix(r.URL.Path, "/v1/values/")]
		if !ok {
			w.WriteHeader(http.StatusNotFound)
		}
		_, _ = w.Write(text)
	}))
	t.Cleanup(srv.Close)
	return srv
}

// testNode is a complete node in this process.
type testNode struct {
	set     *settings.Settings
	servers *servers
	entry   *entry.Entry
	guard   *guard.Guard
	limits  *limit.Table
	library *libraryLog
	metrics *metrics.Metrics
	stop    func()
	lines   atomic.Int64
	app     *fx.App
}

// testFleet declares one service on one VM.
func testFleet() fleet.Fleet {
	return fleet.Fleet{
		Name: "shop", Revision: 7,
		Zones: []fleet.Zone{{Name: "rs-a", Region: "rs"}},
		Teams: []fleet.Team{{Name: "store", InFlight: 500}},
		Services: []fleet.Service{{
			Name: "orders", Team: "store", Timeout: 2 * time.Second, Drain: 40 * time.Second,
			Routes: []fleet.Route{
				{Name: "read", Methods: []string{"GET", "HEAD"}, Path: "/*", Idempotent: true},
				{Name: "upload", Methods: []string{"PUT"}, Path: "/uploads/*", Idempotent: true},
			},
			Targets: []fleet.Target{{VM: "orders-1", Zone: "rs-a", Slots: 64}},
		}},
	}
}

// start starts a node of testFleet; see startIn.
func start(t *testing.T, b *backend, log logr.Logger) *testNode {
	t.Helper()
	return startIn(t, testFleet(), b, log)
}

// startIn starts a node in front of b, waits until it is ready, and stops it at the
// end of the test.
func startIn(t *testing.T, f fleet.Fleet, b *backend, log logr.Logger) *testNode {
	t.Helper()
	// Uses a random address so that the fixed ports are free. Deployments in other tests
	// use lower third octets.
	ip := fmt.Sprintf("127.%d.%d.%d", 2+rand.IntN(250), 230+rand.IntN(20), 1+rand.IntN(250))
	p := newPlatform(t, f, platform.VM{Name: "orders-1", IP: ip, State: platform.VMLive})
	n := &testNode{set: &settings.Settings{
		VM: "orders-1", Region: "rs", Zone: "rs-a", Fleet: "shop",
		Callers: ip + ":7100", Guard: ip + ":7200", Control: ip + ":7300", Admin: ip + ":7400",
		Backend: parseURL(t, b.URL), Platform: parseURL(t, p.URL), StopLimit: 10 * time.Second, ConnsPerIP: 64, Health: "/healthz",
	}}
	if log.GetSink() == nil {
		log = funcr.New(func(_, _ string) { n.lines.Add(1) }, funcr.Options{})
	}
	app := fx.New(Module, fx.NopLogger, fx.Supply(n.set), fx.Populate(&n.servers, &n.entry, &n.guard, &n.limits, &n.library, &n.metrics),
		fx.Provide(func() logr.Logger { return log }))
	n.app = app
	require.NoError(t, app.Start(context.Background()))
	n.stop = sync.OnceFunc(func() {
		p.CloseClientConnections()
		require.NoError(t, app.Stop(context.Background()))
	})
	t.Cleanup(n.stop)
	require.Eventually(t, func() bool {
		rec := httptest.NewRecorder()
		req := httptest.NewRequest(http.MethodGet, "/ready", nil)
		req.Header.Set("Limpetdock-Service", "orders")
		n.servers.callers.server.Handler.ServeHTTP(rec, req)
		return rec.Code == http.StatusOK
	}, 20*time.Second, 10*time.Millisecond)
	b.takeRequests()
	return n
}

func parseURL(t *testing.T, text string) *url.URL {
	u, err := url.Parse(text)
	require.NoError(t, err)
	return u
}

func TestStopLimit(t *testing.T) {
	b := newBackend(t)
	n := start(t, b, logr.Logger{})
	view := n.entry.View()
	require.Equal(t, 10*time.Second, stopLimit(10*time.Second, nil), "before any configuration")
	require.Equal(t, 10*time.Second, stopLimit(10*time.Second, view), "the limit in the settings is shorter")
	require.Equal(t, 40*time.Second, stopLimit(time.Minute, view), "the declared drain time is shorter")
}
