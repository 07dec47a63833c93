package pick

import (
	"container/heap"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/limpetdock/limpetdock/fleet"
	"github.com/limpetdock/limpetdock/internal/config"
	"github.com/limpetdock/limpetdock/internal/place"
)

// server is a simulated backend server with slots, a queue and a service time.
type server struct {
	slots, running int
	queue          []func()
	service        time.Duration // on average
	extra          time.Duration // added to each
	failsAfter     time.Duration // answers 500 after this time; 0 is never
	failsNext      int           // the number of next requests answered 500 at once
	down           bool
	served         int
	// allowance is the number of bytes of reports that could be sent at time filled.
	allowance float64
	filled    time.Duration
}

// reports reports whether the measuring budget allows one more report, and spends it.
func (v *server) reports(now time.Duration) bool {
	const (
		line      = 40
		burst     = fleet.DefaultBytes / 4
		perSecond = fleet.DefaultBytes - burst
	)
	v.allowance = min(burst, v.allowance+perSecond*(now-v.filled).Seconds())
	v.filled = now
	if v.allowance < line {
		return false
	}
	v.allowance -= line
	return true
}

type event struct {
	at  time.Duration
	run func()
}

type agenda []event

func (a agenda) Len() int           { return len(a) }
func (a agenda) Less(i, j int) bool { return a[i].at < a[j].at }
func (a agenda) Swap(i, j int)      { a[i], a[j] = a[j], a[i] }
func (a *agenda) Push(x any)        { *a = append(*a, x.(event)) }
func (a *agenda) Pop() any {
	old := *a
	last := old[len(old)-1]
	*a = old[:len(old)-1]
	return last
}

// sim simulates entries and servers on a simulated clock. Runs with the same seed are
// identical.
type sim struct {
	now time.Duration
	// rnd is used for choices. Arrivals and service times are drawn from demand, so
	// that compared policies get the same requests.
	rnd, demand *rand.Rand
	// reports is true if the policy uses reports.
	reports  bool
	agenda   agenda
	servers  map[string]*server
	entries  []*Service
	took     []time.Duration
	observed func(t *Target)
}

func (s *sim) after(d time.Duration, f func()) { heap.Push(&s.agenda, event{s.now + d, f}) }

func (s *sim) run(until time.Duration) {
	for len(s.agenda) > 0 && s.agenda[0].at <= until {
		e := heap.Pop(&s.agenda).(event)
		s.now = e.at
		e.run()
	}
	s.now = until
}

// places returns the VMs of a fleet: regions x zones x targets for each zone.
func places(regions, zones, each int) []Place {
	var list []Place
	for r := range regions {
		for z := range zones {
			for i := range each {
				region := "r" + strconv.Itoa(r)
				zone := region + "z" + strconv.Itoa(z)
				list = append(list, Place{zone + "-" + strconv.Itoa(i), zone, region})
			}
		}
	}
	return list
}

// newService returns the Service of one entry at here, with its own Stats, in a fleet
// with the given entries.
func newService(policy string, here Place, at []Place, slots int, entries *Entries) *Service {
	targets := make([]*Target, 0, len(at))
	for _, p := range at {
		targets = append(targets, &Target{
			Place: p, Slots: slots, Connections: 200, Guard: p.VM, Distance: here.DistanceTo(p), Stat: &Stat{},
		})
	}
	c := &config.Service{Service: fleet.Service{Name: "s", Policy: policy}}
	subset, inRegion := entries.Subset(here, targets)
	used := make([]*Target, 0, len(subset))
	for _, i := range subset {
		used = append(used, targets[i])
	}
	return NewService(c, used, targets, inRegion, &Shared{})
}

const simSlots = 6

// newSim returns a simulation with a server at each of at and an entry at each of here.
func newSim(policy string, at, here []Place) *sim {
	s := &sim{servers: map[string]*server{}, observed: func(*Target) {}}
	s.seed(1)
	s.reports = policy == fleet.PolicyTwoLoad || policy == fleet.PolicyLeastLoad || policy == fleet.PolicyIdleHints
	for _, p := range at {
		s.servers[p.VM] = &server{slots: simSlots, service: 5 * time.Millisecond}
	}
	for _, p := range here {
		s.entries = append(s.entries, newService(policy, p, at, simSlots, NewEntries(at)))
	}
	return s
}

func (s *sim) seed(seed uint64) {
	s.rnd, s.demand = rand.New(rand.NewPCG(seed, 2)), rand.New(rand.NewPCG(seed, 3))
}

// load sends requests at an entry at random times, at a mean rate of perSecond.
func (s *sim) load(entry *Service, perSecond float64, until time.Duration) {
	pause := time.Duration(s.demand.ExpFloat64() / perSecond * float64(time.Second))
	if s.now+pause > until {
		return
	}
	s.after(pause, func() {
		s.request(entry)
		s.load(entry, perSecond, until)
	})
}

func (s *sim) request(entry *Service) {
	// Half of the service time is constant, as in the stand-in backend server.
	draw := 0.5 + 0.5*s.demand.ExpFloat64()
	t := entry.Choose(&Selection{Draw: Draw{s.now, s.rnd}})
	if t == nil {
		return
	}
	s.observed(t)
	m := t.Begin(s.now, true)
	rtt := defaultRTT[t.Distance]
	s.after(rtt/2, func() { s.arrive(t, m, rtt/2, draw) })
}

// report sends a server's load back. Reports on the same VM aren't charged to the
// measuring budget.
func (s *sim) report(t *Target, srv *server, back time.Duration) {
	if !s.reports || t.Distance != place.SameVM && !srv.reports(s.now) {
		return
	}
	r := Report{Running: srv.running, Waiting: len(srv.queue), Slots: srv.slots, Service: srv.service}
	s.after(back, func() {
		r.At = s.now
		t.RecordReport(r)
	})
}

func (s *sim) arrive(t *Target, m Attempt, back time.Duration, draw float64) {
	srv := s.servers[t.VM]
	end := func(o Outcome) {
		s.after(back, func() {
			t.RecordOutcome(m, s.now, o, s.rnd)
			t.End()
			s.took = append(s.took, s.now-m.start)
		})
	}
	switch {
	case srv.down:
		end(Unreachable)
		return
	case srv.failsNext > 0:
		srv.failsNext--
		end(Failed)
		return
	case srv.failsAfter > 0:
		s.after(srv.failsAfter, func() { end(Failed) })
		return
	}
	start := func() {
		srv.running++
		d := time.Duration(draw*float64(srv.service)) + srv.extra
		s.after(d, func() {
			srv.served++
			s.report(t, srv, back)
			end(Good)
			srv.running--
			if len(srv.queue) > 0 {
				next := srv.queue[0]
				srv.queue = srv.queue[1:]
				next()
			}
		})
	}
	if srv.running < srv.slots {
		start()
		return
	}
	srv.queue = append(srv.queue, start)
}
