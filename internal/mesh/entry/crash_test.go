package entry_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetdock/limpetdock/internal/kind"
	"github.com/limpetdock/limpetdock/internal/mesh"
	"github.com/limpetdock/limpetdock/internal/mesh/entry"
	"github.com/limpetdock/limpetdock/internal/mesh/exchange"
	meshguard "github.com/limpetdock/limpetdock/internal/mesh/guard"
	"github.com/limpetdock/limpetdock/internal/mesh/model"
	"github.com/limpetdock/limpetdock/internal/mesh/quarantine"
	"github.com/limpetdock/limpetdock/internal/place"
	"github.com/limpetdock/limpetdock/internal/suspect"
	"github.com/limpetdock/limpetdock/internal/virtualtime"
)

const (
	// fleetNodes is the number of nodes, of which the first fleetServers have a backend server.
	fleetNodes   = 12
	fleetServers = 6
	// fleetServiceTime is the mean service time of requests.
	fleetServiceTime = 90 * time.Millisecond
	// newsDelay is the time of a message between two nodes.
	newsDelay  = 10 * time.Millisecond
	crashURI   = "/read/crash"
	popularURI = "/read/popular"
)

// crashFleet is a service whose backend servers crash on requests for crashURI.
type crashFleet struct {
	nodes int
	// stop ends the nodes that run.
	stop     context.CancelFunc
	config   *mesh.Config
	now      func() time.Duration
	servers  []*model.Server
	guards   []*meshguard.Guard
	entries  []*entry.Entry
	trackers []*quarantine.Tracker
}

// fleetPeers are the guards of the nodes that run.
type fleetPeers []*meshguard.Guard

func (p fleetPeers) Run(ctx context.Context, addr string, r *mesh.Request) (*mesh.Answer, *kind.Error) {
	time.Sleep(newsDelay / 2)
	var i int
	_, _ = fmt.Sscan(addr, &i)
	return p[i].Run(ctx, r)
}

// fleetSender sends one node's news to the nodes that run.
type fleetSender []*quarantine.Tracker

func (s fleetSender) SendSuspects(rows []quarantine.Row, fanout int) {
	to := rand.Perm(len(s))
	if fanout != quarantine.Everyone {
		to = to[:fanout]
	}
	for _, i := range to {
		receiver := s[i]
		time.AfterFunc(newsDelay, func() { receiver.Merge(rows) })
	}
}

func newCrashFleet(ctx context.Context, wg *sync.WaitGroup, seed uint64) *crashFleet {
	return newCrashFleetOf(ctx, wg, seed, fleetNodes, fleetServers, fleetServiceTime)
}

// newCrashFleetOf starts as many nodes, of which the first ones have a backend server with a mean service time.
func newCrashFleetOf(ctx context.Context, wg *sync.WaitGroup, seed uint64, nodes, servers int, serviceTime time.Duration) *crashFleet {
	start := time.Now()
	f := &crashFleet{nodes: nodes, stop: func() {}, now: func() time.Duration { return time.Since(start) }}
	route := &mesh.Route{
		Name: "read", Host: "h", Prefix: "/read/", Shares: []mesh.Share{{Service: "s", Weight: 1}}, Idempotent: true,
		Timeout: time.Second, LatencyObjective: 300 * time.Millisecond, MaxTargets: 2, Splitter: &mesh.Splitter{},
	}
	services := map[string]*mesh.Service{"s": {Name: "s", HealthPath: model.HealthPath}}
	urgent := *route
	route.Priority = 2
	urgent.Name, urgent.Prefix, urgent.Splitter = "urgent", "/urgent/", &mesh.Splitter{}
	f.config = mesh.NewConfig(1, services, []*mesh.Route{route, &urgent}, mesh.Limits{})
	for i := range servers {
		b := model.Backend{
			Slots: 6, Queue: 10, Spread: 0.3, CrashTime: 35 * time.Millisecond, DownTime: 3 * time.Second,
			Crashes: func(m *exchange.Message) bool { return m.URI == crashURI },
		}
		f.servers = append(f.servers, model.NewServer(b, []model.ServiceTime{{Prefix: "/", Mean: serviceTime}}, seed+uint64(i)))
	}
	f.startNodes(ctx, wg)
	return f
}

// startNodes starts all nodes, which know nothing, in place of those that run.
func (f *crashFleet) startNodes(ctx context.Context, wg *sync.WaitGroup) {
	f.stop()
	ctx, f.stop = context.WithCancel(ctx)
	f.trackers, f.guards, f.entries = nil, nil, nil
	for i := range f.nodes {
		f.trackers = append(f.trackers, quarantine.New(f.now))
		if i >= len(f.servers) {
			continue
		}
		g := meshguard.New(meshguard.Config{
			Here: mesh.Place{Service: "s"}, Dialect: model.Dialect, Backend: f.servers[i], Now: f.now, LoadChanged: func(bool) {}, Suspects: f.trackers[i],
		})
		g.SetView(&mesh.View{Config: f.config, LocalTarget: &mesh.Target{ID: "i-1", Service: "s", Slots: f.servers[i].Slots, Addr: "h"}})
		wg.Go(func() { g.Probe(ctx) })
		f.guards = append(f.guards, g)
	}
	trackers := f.trackers
	for i, tracker := range trackers {
		f.addEntry(i)
		wg.Go(func() { tracker.Run(ctx, fleetSender(trackers)) })
	}
}

// addEntry adds the entry of a node. Its targets have ids of their own, as it excludes them by these.
func (f *crashFleet) addEntry(node int) {
	e := entry.New(entry.Config{
		Here: mesh.Place{VM: fmt.Sprint(node), Service: "caller"}, Peers: fleetPeers(f.guards), Observer: observer{}, Suspects: f.trackers[node],
		Repeats: entry.Repeats{Ratio: 0.2, Slack: 80, Window: 10 * time.Second}, Now: f.now,
	})
	var targets []*mesh.Target
	for i := range f.servers {
		targets = append(targets, &mesh.Target{
			ID: fmt.Sprint("i-", i), Service: "s", Peer: fmt.Sprint(i), Slots: 6, Distance: place.SameRegion, Stat: &mesh.Stat{},
		})
	}
	e.SetView(&mesh.View{Config: f.config, Targets: map[string][]*mesh.Target{"s": targets}})
	f.entries = append(f.entries, e)
}

// crashed returns how often backend servers crashed.
func (f *crashFleet) crashed() (n int) {
	for _, s := range f.servers {
		n += len(s.Crashed())
	}
	return n
}

// reads counts the outcomes of reads.
type reads struct {
	mu              sync.Mutex
	sent, ok, block int
	// shortestRetry is the shortest Retry-After of a refused read.
	shortestRetry time.Duration
}

// send sends one read at an entry and reports whether it was served.
func (r *reads) send(ctx context.Context, e *entry.Entry, now time.Duration, uri string) bool {
	_, err := e.Serve(ctx, &entry.Inbound{ID: uri, Method: http.MethodGet, URI: uri, Path: uri, Host: "h", Header: http.Header{}, Arrived: now})
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sent++
	switch {
	case err == nil:
		r.ok++
	case err.Kind == kind.Blocked:
		r.block++
	}
	if err != nil && (r.shortestRetry == 0 || err.RetryAfter < r.shortestRetry) {
		r.shortestRetry = err.RetryAfter
	}
	return err == nil
}

// Guards against popular requests that are blocked because backend servers are killed in waves, with
// the same requests in flight on each.
func TestKilledServersBlockNothing(t *testing.T) {
	for _, spread := range []time.Duration{400 * time.Millisecond, 2 * time.Second, 7 * time.Second} {
		for seed := range uint64(8) {
			t.Run(fmt.Sprint(spread, "/", seed), func(t *testing.T) {
				virtualtime.Test(t, func(t *testing.T) { killServers(t, seed, spread) })
			})
		}
	}
}

// killServers kills all servers once in each wave, each at a random time within spread, and requires
// that no read is blocked.
func killServers(t *testing.T, seed uint64, spread time.Duration) {
	const (
		duration = 40 * time.Second
		interval = 15 * time.Millisecond
		waves    = 8 * time.Second
	)
	ctx, cancel := context.WithCancel(t.Context())
	var background, requests sync.WaitGroup
	f := newCrashFleet(ctx, &background, seed)
	rnd := rand.New(rand.NewPCG(seed, 2))
	var popular, others reads
	start := time.Now()
	var kills []time.Duration
	for wave := waves; wave < duration; wave += waves {
		for range fleetServers {
			kills = append(kills, wave+time.Duration(rnd.IntN(int(spread/time.Millisecond)))*time.Millisecond)
		}
	}
	for i, at := range kills {
		time.AfterFunc(at, f.servers[i%fleetServers].Kill)
	}
	for i := 0; time.Since(start) < duration; i++ {
		e := f.entries[rnd.IntN(len(f.entries))]
		counts, uri := &others, fmt.Sprint("/read/", i)
		if i%2 == 0 {
			counts, uri = &popular, popularURI
		}
		now := time.Since(start)
		requests.Go(func() { counts.send(ctx, e, now, uri) })
		time.Sleep(interval)
	}
	requests.Wait()
	cancel()
	background.Wait()
	t.Logf("popular: %d of %d served, %d blocked; others: %d of %d, %d blocked", popular.ok, popular.sent, popular.block, others.ok, others.sent, others.block)
	require.Zero(t, popular.block)
	require.Zero(t, others.block)
}

// Guards against a request that takes down its service as it is sent to one backend server after
// the other, and against popular requests that are blocked because they were in flight too.
func TestCrashingRequestAmongPopularOnes(t *testing.T) {
	const (
		duration    = 30 * time.Second
		interval    = 15 * time.Millisecond
		crashEvery  = 10
		popularEach = 2
	)
	for seed := range uint64(8) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			virtualtime.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				var background, requests sync.WaitGroup
				f := newCrashFleet(ctx, &background, seed)
				rnd := rand.New(rand.NewPCG(seed, 1))
				var popular, others, crashing reads
				start := time.Now()
				for i := 0; time.Since(start) < duration; i++ {
					e := f.entries[rnd.IntN(len(f.entries))]
					counts, uri := &others, fmt.Sprint("/read/", i)
					switch {
					case i%crashEvery == 0:
						counts, uri = &crashing, crashURI
					case i%popularEach == 0:
						counts, uri = &popular, popularURI
					}
					now := time.Since(start)
					requests.Go(func() { counts.send(ctx, e, now, uri) })
					time.Sleep(interval)
				}
				requests.Wait()
				cancel()
				background.Wait()
				t.Logf("%d crashes in %d sendings; popular: %d of %d served, %d blocked; others: %d of %d, %d blocked",
					f.crashed(), crashing.sent, popular.ok, popular.sent, popular.block, others.ok, others.sent, others.block)
				require.LessOrEqual(t, f.crashed(), 6, "three crashes, and three retries that are allowed later")
				require.Zero(t, popular.block)
				require.Zero(t, others.block)
				require.Greater(t, float64(popular.ok), 0.9*float64(popular.sent))
				require.Greater(t, float64(others.ok), 0.9*float64(others.sent))
			})
		})
	}
}

// Guards against a request that crashes backend servers again each time that its block ends.
func TestCrashingRequestThatReturnsForHours(t *testing.T) {
	const (
		duration = 6 * time.Hour
		interval = 2 * time.Second
		// recognition is how long after the third crash the request may still reach backend servers
		// freely, and allowedLater how many crash later.
		recognition  = 3 * time.Second
		allowedLater = 3
	)
	for seed := range uint64(2) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			virtualtime.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				var background, requests sync.WaitGroup
				f := newCrashFleet(ctx, &background, seed)
				rnd := rand.New(rand.NewPCG(seed, 3))
				var crashing reads
				start := time.Now()
				for time.Since(start) < duration {
					e, now := f.entries[rnd.IntN(len(f.entries))], time.Since(start)
					requests.Go(func() { crashing.send(ctx, e, now, crashURI) })
					time.Sleep(interval)
				}
				requests.Wait()
				cancel()
				background.Wait()
				later := f.crashedAfter(f.thirdCrash().Add(recognition))
				t.Logf("%d crashes in %d sendings, %d of them later", f.crashed(), crashing.sent, later)
				require.LessOrEqual(t, later, allowedLater)
			})
		})
	}
}

// thirdCrash returns the time of the third crash.
func (f *crashFleet) thirdCrash() time.Time {
	crashes := f.crashTimes()
	return crashes[2]
}

// crashedAfter returns how often backend servers crashed after a time.
func (f *crashFleet) crashedAfter(from time.Time) (n int) {
	for _, at := range f.crashTimes() {
		if at.After(from) {
			n++
		}
	}
	return n
}

// crashTimes returns the times of all crashes in order.
func (f *crashFleet) crashTimes() (all []time.Time) {
	for _, s := range f.servers {
		all = append(all, s.Crashed()...)
	}
	slices.SortFunc(all, time.Time.Compare)
	return all
}

// Guards against nodes that try a request all at once when its block ends.
func TestNodesDelayTheirFirstTrial(t *testing.T) {
	const latest = 30 * time.Second
	refused := 0
	for range 20 {
		d := newDeployment(t, true)
		r := mesh.Request{Service: "orders", Caller: "shop", Method: "POST", Host: "h", URI: "/a"}
		d.suspects.Died(r.Fingerprint(), suspect.Death{ID: 1, Alone: true})
		d.suspects.Died(r.Fingerprint(), suspect.Death{ID: 2, Alone: true})
		d.now += suspect.BlockFor
		if _, err := d.serve(); err != nil {
			require.Equal(t, kind.Blocked, err.Kind)
			require.LessOrEqual(t, err.RetryAfter, latest)
			refused++
		}
		d.now += latest
		_, err := d.serve()
		require.Nil(t, err)
	}
	require.Positive(t, refused)
}

// Guards against a request on trial that crashes a second worker, as the break of its exchange proves no death.
func TestBrokenTrialIsNotRetried(t *testing.T) {
	d := newDeployment(t, true)
	r := mesh.Request{Service: "orders", Caller: "shop", Method: "POST", Host: "h", URI: "/a"}
	d.suspects.Died(r.Fingerprint(), suspect.Death{ID: 1, Alone: true})
	d.suspects.Died(r.Fingerprint(), suspect.Death{ID: 2, Alone: true})
	const longestDelay = 30 * time.Second
	d.now += suspect.BlockFor + longestDelay
	for _, name := range []string{own, "zone", "region", "far"} {
		d.answers[name] = failing(kind.BackendBroken)
	}
	_, err := d.serve()
	require.Equal(t, kind.BackendBroken, err.Kind)
	require.Len(t, d.attempted, 1)
}
