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

// old is the age of the test's guards: more than it takes to accept keys.
const old = 30 * time.Minute

// node is a guard with its sockets. Entries reach it through a pipe that tests
// can silence or break.
type node struct {
	world   *world
	no      int
	backend string
	guard   atomic.Pointer[guard.Guard]
	pipe    *pipe
	control *link.Server
	address string
	listen  net.Listener
	// mixedUp is how many answers to come carry the id of another request.
	mixedUp atomic.Int32
}

// world is a service "s" on a few nodes; "/read" is idempotent, the rest is at most once.
type world struct {
	t       *testing.T
	config  *config.Config
	nodes   []*node
	entries []*entry.Entry
	callers []string
}

type nobody struct{}

func (nobody) Answered(string, kind.Kind, time.Duration) {}
func (nobody) Hopped(string, kind.Kind)                  {}

func newWorld(t *testing.T, backends ...string) *world {
	w := &world{t: t}
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

func (w *world) node(no int, backend string) *node {
	n := &node{world: w, no: no, backend: backend}
	n.start(1, old)
	server := httptest.NewServer(http.HandlerFunc(n.serve))
	w.t.Cleanup(server.Close)
	n.pipe = newPipe(w.t, strings.TrimPrefix(server.URL, "http://"))
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
	if n.mixedUp.Add(-1) < 0 {
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

// start puts a new incarnation in the place of the one before.
func (n *node) start(incarnation uint64, age time.Duration) {
	base, err := url.Parse(n.backend)
	require.NoError(n.world.t, err)
	var passed atomic.Int64
	start := time.Now()
	g := guard.New(base, incarnation, func() time.Duration { return time.Since(start) + time.Duration(passed.Load()) })
	g.SetView(&pick.View{Config: n.world.config, Here: pick.Place{VM: fmt.Sprint("vm", n.no)}})
	g.Listed("ip", time.Millisecond)
	passed.Store(int64(age))
	g.Listed("ip", age)
	n.guard.Store(g)
}

// kill ends the node as a process that dies: its ports refuse connections.
func (n *node) kill() {
	_ = n.listen.Close()
	n.control.Close()
	n.pipe.close()
}

// Welcome and Answer make the node a link.Handler.
func (*node) Welcome(*wire.Hello) bool { return true }

// Answer asks whichever incarnation is in place.
func (n *node) Answer(_ string, m wire.Message) wire.Message {
	return n.guard.Load().Seal(m.(*wire.Seal))
}

func (w *world) addEntry() {
	start := time.Now()
	e := entry.New(entry.Config{
		Peers: link.NewDialer(wire.Hello{}, &link.Counters{}), Observer: nobody{},
		Now: func() time.Duration { return time.Since(start) },
	})
	w.entries = append(w.entries, e)
	server := httptest.NewUnstartedServer(e)
	server.Config.ConnContext = entry.ConnContext
	server.Start()
	w.t.Cleanup(server.Close)
	w.callers = append(w.callers, server.URL)
	w.show(e)
}

// show gives an entry the nodes as they stand, with identities still to be learnt.
func (w *world) show(e *entry.Entry) {
	var targets []*pick.Target
	for i, n := range w.nodes {
		targets = append(targets, &pick.Target{
			Place: pick.Place{VM: fmt.Sprint("vm", i), Zone: "z", Region: "r"}, Slots: 64, Connections: 200,
			Distance: place.SameZone, Guard: n.pipe.address, Control: n.address, Stat: &pick.Stat{},
		})
	}
	svc := pick.NewService(w.config.Services["s"], targets, targets, len(targets), &pick.Shared{})
	e.SetView(&pick.View{Config: w.config, Here: pick.Place{VM: "outside", Zone: "z", Region: "r"}, Services: map[string]*pick.Service{"s": svc}})
}

// answer is what a caller got. err is trouble with the answer's body.
type answer struct {
	status           int
	body             string
	err              error
	outcome, kind    string
	ticket, retryFor string
}

// ask sends a request through an entry; pairs are header names and values.
func (w *world) ask(entry int, method, path, body string, pairs ...string) answer {
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
		kind: resp.Header.Get(headers.Kind), ticket: resp.Header.Get(headers.Ticket), retryFor: resp.Header.Get("Retry-After"),
	}
}

// pipe passes TCP on, until it is told not to.
type pipe struct {
	listen  net.Listener
	address string
	target  string
	mu      sync.Mutex
	conns   []net.Conn
	// silent is closed to stop the connections open now, which stay open.
	silent chan struct{}
	// resetAnswers resets a connection at the first byte of an answer.
	resetAnswers bool
}

func newPipe(t *testing.T, target string) *pipe {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	p := &pipe{listen: l, address: l.Addr().String(), target: target, silent: make(chan struct{})}
	go p.serve(l)
	return p
}

// reopen takes connections again after close, at the same address.
func (p *pipe) reopen(t *testing.T) {
	l, err := net.Listen("tcp", p.address)
	require.NoError(t, err)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.listen, p.conns = l, nil
	go p.serve(l)
}

// accepted counts the connections since the pipe was opened.
func (p *pipe) accepted() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.conns) / 2
}

func (p *pipe) serve(l net.Listener) {
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
		silent := p.silent
		p.mu.Unlock()
		go p.pass(out, in, silent, false)
		go p.pass(in, out, silent, true)
	}
}

func (p *pipe) pass(to, from net.Conn, silent chan struct{}, answers bool) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		p.mu.Lock()
		reset := answers && p.resetAnswers
		p.mu.Unlock()
		select {
		case <-silent:
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

// silence stops the connections open now for good; new ones work.
func (p *pipe) silence() {
	p.mu.Lock()
	defer p.mu.Unlock()
	close(p.silent)
	p.silent = make(chan struct{})
}

func (p *pipe) loseAnswers(lose bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.resetAnswers = lose
}

func (p *pipe) close() {
	p.mu.Lock()
	_ = p.listen.Close()
	p.mu.Unlock()
	p.reset()
}

func (p *pipe) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.conns {
		_ = c.Close()
	}
}
