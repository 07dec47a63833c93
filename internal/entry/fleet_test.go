package entry_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/url"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetdock/limpetdock/fleet"
	"github.com/limpetdock/limpetdock/internal/config"
	"github.com/limpetdock/limpetdock/internal/entry"
	"github.com/limpetdock/limpetdock/internal/guard"
	"github.com/limpetdock/limpetdock/internal/headers"
	"github.com/limpetdock/limpetdock/internal/kind"
	"github.com/limpetdock/limpetdock/internal/link"
	"github.com/limpetdock/limpetdock/internal/pick"
	"github.com/limpetdock/limpetdock/internal/place"
	"github.com/limpetdock/limpetdock/internal/wire"
)

// guardAge is the age of the test's guards. It is longer than a guard waits before it accepts
// keys.
const guardAge = 30 * time.Minute

// node is a guard with its listeners. Entries reach it through a proxy that tests can stall or
// interrupt.
type node struct {
	cluster *testCluster
	no      int
	backend string
	guard   atomic.Pointer[guard.Guard]
	proxy   *tcpProxy
	control *link.Server
	address string
	listen  net.Listener
	// mismatchedAnswers is how many of the next answers carry the id of another request.
	mismatchedAnswers atomic.Int32
}

// testCluster is a service "s" on a few nodes; "/read" is idempotent, all other routes are at
// most once.
type testCluster struct {
	t       *testing.T
	config  *config.Config
	nodes   []*node
	entries []*entry.Entry
	callers []string
}

type discardObserver struct{}

func (discardObserver) Answered(string, kind.Kind, time.Duration) {}
func (discardObserver) Hopped(string, kind.Kind)                  {}

func newTestCluster(t *testing.T, backends ...string) *testCluster {
	w := &testCluster{t: t}
	f := fleet.Fleet{
		Name: "test", Revision: 1, Zones: []fleet.Zone{{Name: "z", Region: "r"}},
		Teams: []fleet.Team{{Name: "ops"}},
		Services: []fleet.Service{{Name: "s", Team: "ops", KeyLifetime: 10 * time.Minute, Routes: []fleet.Route{
			{Name: "read", Methods: []string{"GET"}, Path: "/read", Idempotent: true},
		}}},
	}
	for i := range backends {
		f.Services[0].Targets = append(f.Services[0].Targets, fleet.Target{VM: fmt.Sprint("vm", i), Zone: "z", Slots: 64})
	}
	w.config = assemble(t, f)
	for i, base := range backends {
		w.nodes = append(w.nodes, w.node(i, base))
	}
	for range 2 {
		w.addEntry()
	}
	return w
}

func assemble(t *testing.T, f fleet.Fleet) *config.Config {
	pub, err := f.Print()
	require.NoError(t, err)
	index, err := config.ParseIndex(pub.Index.Text)
	require.NoError(t, err)
	svc, err := config.ParseService(index.Entries[0], pub.Services[0].Text)
	require.NoError(t, err)
	whole, err := config.Assemble(index, []*config.Service{svc})
	require.NoError(t, err)
	return whole
}

func (w *testCluster) node(no int, backend string) *node {
	n := &node{cluster: w, no: no, backend: backend}
	n.start(1, guardAge)
	server := httptest.NewServer(http.HandlerFunc(n.serve))
	w.t.Cleanup(server.Close)
	n.proxy = newTCPProxy(w.t, strings.TrimPrefix(server.URL, "http://"))
	n.control = link.NewServer(n, &link.Counters{})
	var err error
	n.listen, err = net.Listen("tcp", "127.0.0.1:0")
	require.NoError(w.t, err)
	go func() { _ = n.control.Serve(n.listen) }()
	w.t.Cleanup(n.kill)
	n.address = n.listen.Addr().String()
	return n
}

func (n *node) serve(w http.ResponseWriter, r *http.Request) {
	if n.mismatchedAnswers.Add(-1) < 0 {
		n.guard.Load().ServeHTTP(w, r)
		return
	}
	rec := httptest.NewRecorder()
	n.guard.Load().ServeHTTP(rec, r)
	headers.Copy(w.Header(), rec.Header())
	w.Header().Set(headers.Exchange, "another")
	w.WriteHeader(rec.Code)
	_, _ = w.Write(rec.Body.Bytes())
}

// start replaces the guard by a new incarnation.
func (n *node) start(incarnation uint64, age time.Duration) {
	base, err := url.Parse(n.backend)
	require.NoError(n.cluster.t, err)
	var passed atomic.Int64
	start := time.Now()
	g := guard.New(base, incarnation, func() time.Duration { return time.Since(start) + time.Duration(passed.Load()) })
	g.SetView(&pick.View{Config: n.cluster.config, Here: pick.Place{VM: fmt.Sprint("vm", n.no)}})
	g.ConfirmListed("ip", time.Millisecond)
	passed.Store(int64(age))
	g.ConfirmListed("ip", age)
	n.guard.Store(g)
}

// kill simulates a process that has died: its ports refuse connections.
func (n *node) kill() {
	_ = n.listen.Close()
	n.control.Close()
	n.proxy.close()
}

// Welcome and Answer implement link.Handler.
func (*node) Welcome(*wire.Hello) bool { return true }

// Answer queries the current incarnation.
func (n *node) Answer(_ string, m wire.Message) wire.Message {
	return n.guard.Load().Seal(m.(*wire.Seal))
}

func (w *testCluster) addEntry() {
	start := time.Now()
	e := entry.New(entry.Config{
		Peers: link.NewDialer(wire.Hello{}, &link.Counters{}), Observer: discardObserver{},
		Now: func() time.Duration { return time.Since(start) },
	})
	w.entries = append(w.entries, e)
	server := httptest.NewUnstartedServer(e)
	server.Config.ConnContext = entry.ConnContext
	server.Start()
	w.t.Cleanup(server.Close)
	w.callers = append(w.callers, server.URL)
	w.setView(e)
}

// setView gives an entry a View of the current nodes, whose identities are not known yet.
func (w *testCluster) setView(e *entry.Entry) {
	var targets []*pick.Target
	for i, n := range w.nodes {
		targets = append(targets, &pick.Target{
			Place: pick.Place{VM: fmt.Sprint("vm", i), Zone: "z", Region: "r"}, Slots: 64, Connections: 200,
			Distance: place.SameZone, Guard: n.proxy.address, Control: n.address, Stat: &pick.Stat{},
		})
	}
	svc := pick.NewService(w.config.Services["s"], targets, targets, len(targets), &pick.Shared{})
	e.SetView(&pick.View{Config: w.config, Here: pick.Place{VM: "outside", Zone: "z", Region: "r"}, Services: map[string]*pick.Service{"s": svc}})
}

// answer is the answer that a caller received. err is an error while reading its body.
type answer struct {
	status             int
	body               string
	err                error
	outcome, kind      string
	ticket, retryAfter string
}

// ask sends a request through an entry; pairs are header names and values.
func (w *testCluster) ask(entry int, method, path, body string, pairs ...string) answer {
	req, err := http.NewRequest(method, w.callers[entry]+path, strings.NewReader(body))
	require.NoError(w.t, err)
	req.Header.Set(headers.Service, "s")
	for i := 0; i < len(pairs); i += 2 {
		req.Header.Set(pairs[i], pairs[i+1])
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	return answer{
		status: resp.StatusCode, body: string(text), err: err, outcome: resp.Header.Get(headers.Outcome),
		kind: resp.Header.Get(headers.Kind), ticket: resp.Header.Get(headers.Ticket), retryAfter: resp.Header.Get("Retry-After"),
	}
}

// tcpProxy forwards TCP connections until a test stalls, resets or closes them.
type tcpProxy struct {
	listen  net.Listener
	address string
	target  string
	mu      sync.Mutex
	conns   []net.Conn
	// stalled is closed to stall the connections that are open now; they stay open.
	stalled chan struct{}
	// resetAnswers makes the proxy reset a connection at the first byte of an answer.
	resetAnswers bool
}

func newTCPProxy(t *testing.T, target string) *tcpProxy {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	p := &tcpProxy{listen: l, address: l.Addr().String(), target: target, stalled: make(chan struct{})}
	go p.serve(l)
	return p
}

// reopen accepts connections again after close, at the same address.
func (p *tcpProxy) reopen(t *testing.T) {
	l, err := net.Listen("tcp", p.address)
	require.NoError(t, err)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.listen, p.conns = l, nil
	go p.serve(l)
}

// accepted returns the number of connections since the proxy was opened.
func (p *tcpProxy) accepted() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.conns) / 2
}

func (p *tcpProxy) serve(l net.Listener) {
	for {
		in, err := l.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", p.target)
		if err != nil {
			_ = in.Close()
			continue
		}
		p.mu.Lock()
		p.conns = append(p.conns, in, out)
		stalled := p.stalled
		p.mu.Unlock()
		go p.forward(out, in, stalled, false)
		go p.forward(in, out, stalled, true)
	}
}

func (p *tcpProxy) forward(to, from net.Conn, stalled chan struct{}, answers bool) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		p.mu.Lock()
		reset := answers && p.resetAnswers
		p.mu.Unlock()
		select {
		case <-stalled:
			return
		default:
		}
		if err != nil || reset {
			_ = to.(*net.TCPConn).SetLinger(0)
			_ = to.Close()
			_ = from.Close()
			return
		}
		_, _ = to.Write(buf[:n])
	}
}

// stall permanently stops forwarding on the connections open now; new ones work.
func (p *tcpProxy) stall() {
	p.mu.Lock()
	defer p.mu.Unlock()
	close(p.stalled)
	p.stalled = make(chan struct{})
}

func (p *tcpProxy) setResetAnswers(lose bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.resetAnswers = lose
}

func (p *tcpProxy) close() {
	p.mu.Lock()
	_ = p.listen.Close()
	p.mu.Unlock()
	p.reset()
}

func (p *tcpProxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.conns {
		_ = c.Close()
	}
}
