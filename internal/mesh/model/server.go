// Package model simulates backend servers without a network, for tests and experiments on load
// balancing decisions. Inside a testing/synctest bubble, minutes of simulated time take only
// moments.
package model

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/limpetdock/limpetdock/internal/death"
	"github.com/limpetdock/limpetdock/internal/mesh"
	"github.com/limpetdock/limpetdock/internal/mesh/exchange"
)

// HealthPath is the path at which a Server reports its load.
const HealthPath = "/health"

// Dialect defines the headers of a Server. It reports its load as "RUNNING SLOWDOWN", and while it
// is cold for how many milliseconds more.
var Dialect = mesh.Dialect{
	Headers: mesh.HeaderNames{
		RequestID: "X-Id", TimeoutMs: "X-Timeout", Signature: "X-Signature", ExpectedTarget: "X-Expected",
		Load: "X-Load", NotRun: "X-Not-Run", Caller: "X-Caller", Target: "X-Target",
		ColdRemainingMs: "X-Cold", RequestsPerSecond: "X-Limit", Leaving: "X-Leaving",
	},
	ParseLoad: func(v string) (mesh.BackendLoad, bool) {
		l := mesh.BackendLoad{}
		n, err := fmt.Sscanf(v, "%d %f", &l.Running, &l.Slowdown)
		return l, err == nil && n == 2
	},
}

// Backend describes the behaviour of a Server.
type Backend struct {
	// Slots is how many requests it runs at once, and Queue how many may wait.
	Slots, Queue int
	// Knee is the share of the slots up to which requests run at full speed. A request that is
	// started beyond it takes KneeFactor times as long. 0 means that there is no knee.
	Knee, KneeFactor float64
	// Neighbours interfere from the same VM: in a Share of the periods requests take Factor
	// times as long.
	Neighbours Neighbours
	// WarmUp is the time after the start in which requests take WarmUpFactor times as long.
	WarmUp       time.Duration
	WarmUpFactor float64
	// HangsWhenFull is true if the server doesn't answer a request that it can't queue, nor
	// anything else on that connection. Otherwise it refuses such requests.
	HangsWhenFull bool
	// Spread is the standard deviation of the logarithm of the service times of one route.
	Spread float64
	// Crashes reports whether a request crashes the server when it has run for CrashTime. The server
	// is then down for DownTime. nil means that none does.
	Crashes             func(m *exchange.Message) bool
	CrashTime, DownTime time.Duration
}

// Neighbours is the interference by other processes on the same VM.
type Neighbours struct {
	Share, Factor float64
	Period        time.Duration
}

// ServiceTime is the mean base service time of the requests with a path prefix.
type ServiceTime struct {
	Prefix string
	Mean   time.Duration
}

// Server is a simulated backend server. Safe for concurrent use.
type Server struct {
	Backend
	serviceTimes []ServiceTime
	mu           sync.Mutex
	rnd          *rand.Rand
	started      time.Time
	running      int
	queue        []chan struct{}
	// period is the number of the current period of the neighbours, and slow is true if they
	// interfere in it.
	period int64
	slow   bool
	ran    int
	// coldUntil is when the server is warm, and coldArrivals are the arrivals of requests while it
	// was cold.
	coldUntil    time.Time
	coldArrivals []time.Time
	// limit is what it names as its limit in all answers, and arrivals are those of all requests.
	limit    string
	arrivals []time.Time
	// unreported is the factor of a slowdown that the server doesn't report; 0 is none.
	unreported float64
	// process is the present one. The server is down until downUntil.
	process   *process
	downUntil time.Time
	crashes   []time.Time
}

// process is one life of the server's process.
type process struct {
	ended      chan struct{}
	generation death.Generation
}

// NewServer starts a backend server whose random numbers are drawn from seed.
func NewServer(b Backend, serviceTimes []ServiceTime, seed uint64) *Server {
	s := &Server{Backend: b, serviceTimes: serviceTimes, rnd: rand.New(rand.NewPCG(seed, seed)), started: time.Now(), period: -1, process: &process{ended: make(chan struct{})}}
	s.GoCold(b.WarmUp)
	return s
}

// GoCold makes the server cold for a while: requests take WarmUpFactor times as long.
func (s *Server) GoCold(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.coldUntil = time.Now().Add(d)
}

// SlowUnreported makes requests take factor times as long from now on, which the server doesn't report.
func (s *Server) SlowUnreported(factor float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unreported = factor
}

// MostColdArrivals returns the most requests that arrived within one second while the server was
// cold.
func (s *Server) MostColdArrivals() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	most, first := 0, 0
	for i, at := range s.coldArrivals {
		for at.Sub(s.coldArrivals[first]) >= time.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// NameLimit makes the server name a limit in its answers; an empty one is none.
func (s *Server) NameLimit(limit string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limit = limit
}

// Arrivals returns when requests arrived.
func (s *Server) Arrivals() []time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.arrivals)
}

// noteArrival records the arrival of a request.
func (s *Server) noteArrival() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.arrivals = append(s.arrivals, now)
	if now.Before(s.coldUntil) {
		s.coldArrivals = append(s.coldArrivals, now)
	}
}

// crash ends the process with everything that it runs.
func (s *Server) crash(life *process) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if life != s.process {
		return
	}
	close(life.ended)
	s.process = &process{ended: make(chan struct{}), generation: life.generation + 1}
	s.running, s.queue = 0, nil
	s.downUntil = time.Now().Add(s.DownTime)
	s.crashes = append(s.crashes, time.Now())
}

// Kill ends the process from outside, with everything that it runs.
func (s *Server) Kill() {
	if life := s.life(); life != nil {
		s.crash(life)
	}
}

func (p *process) failure() *exchange.Failure {
	return &exchange.Failure{Outcome: exchange.Unknown, Cause: errCrashed, Generation: p.generation}
}

// life returns the present process, or nil while the server is down.
func (s *Server) life() *process {
	s.mu.Lock()
	defer s.mu.Unlock()
	if time.Now().Before(s.downUntil) {
		return nil
	}
	return s.process
}

// Crashed returns when the server crashed.
func (s *Server) Crashed() []time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.crashes)
}

// Investigate implements guard.Backend.
func (s *Server) Investigate(_ context.Context, f *exchange.Failure, _ func(context.Context) bool) death.Finding {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case f.Outcome != exchange.Unknown:
		return death.Unanswered
	case f.Generation == s.process.generation:
		return death.OthersContinue
	}
	return death.AllEnded
}

// leaveAlive releases the slot of a request unless the process that ran it has ended.
func (s *Server) leaveAlive(life *process) {
	select {
	case <-life.ended:
	default:
		s.leave()
	}
}

// Ran returns how many requests it has completed.
func (s *Server) Ran() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ran
}

var (
	errNoAnswer = eris.New("no answer")
	errCanceled = eris.New("the exchange was broken off")
	errCrashed  = eris.New("the server crashed")
	errDown     = eris.New("the server is down")
)

// Do makes an exchange, as a client of the server would.
func (s *Server) Do(ctx context.Context, m *exchange.Message, allow func() bool) (*mesh.Answer, *exchange.Failure) {
	if m.URI == HealthPath {
		return s.answerHealthCheck(m), nil
	}
	if !allow() {
		return nil, &exchange.Failure{Outcome: exchange.NotSent, Cause: errCanceled}
	}
	s.noteArrival()
	life := s.life()
	if life == nil {
		return nil, &exchange.Failure{Outcome: exchange.Unreachable, Cause: errDown}
	}
	admitted, full := s.enter()
	switch {
	case full && s.HangsWhenFull:
		<-ctx.Done()
		return nil, &exchange.Failure{Outcome: exchange.Unknown, Cause: errNoAnswer}
	case full:
		refusal := s.answer(m, http.StatusServiceUnavailable)
		refusal.Header.Set(Dialect.Headers.NotRun, "1")
		return refusal, nil
	}
	select {
	case <-admitted:
	case <-life.ended:
		return nil, life.failure()
	case <-ctx.Done():
		s.leaveQueue(admitted)
		return nil, &exchange.Failure{Outcome: exchange.Unknown, Cause: errCanceled}
	}
	return s.run(ctx, m, life)
}

// run runs a request that holds a slot.
func (s *Server) run(ctx context.Context, m *exchange.Message, life *process) (*mesh.Answer, *exchange.Failure) {
	crashes := s.Crashes != nil && s.Crashes(m)
	serviceTime := s.drawServiceTime(m.URI)
	if crashes {
		serviceTime = s.CrashTime
	}
	timer := time.NewTimer(serviceTime)
	defer timer.Stop()
	defer s.leaveAlive(life)
	select {
	case <-timer.C:
		if crashes {
			s.crash(life)
			return nil, life.failure()
		}
	case <-life.ended:
		return nil, life.failure()
	case <-ctx.Done():
		return nil, &exchange.Failure{Outcome: exchange.Unknown, Cause: errCanceled}
	}
	s.mu.Lock()
	s.ran++
	s.mu.Unlock()
	return s.answer(m, http.StatusOK), nil
}

// enter returns a channel that is signalled when the request gets a slot. full is true if
// neither the slots nor the queue have room.
func (s *Server) enter() (admitted chan struct{}, full bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	admitted = make(chan struct{}, 1)
	switch {
	case s.running < s.Slots:
		s.running++
		admitted <- struct{}{}
	case len(s.queue) < s.Queue:
		s.queue = append(s.queue, admitted)
	default:
		return nil, true
	}
	return admitted, false
}

// leave releases a slot.
func (s *Server) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.queue) == 0 {
		s.running--
		return
	}
	s.queue[0] <- struct{}{}
	s.queue = s.queue[1:]
}

// leaveQueue removes an abandoned request from the queue.
func (s *Server) leaveQueue(admitted chan struct{}) {
	s.mu.Lock()
	for i, waiting := range s.queue {
		if waiting == admitted {
			s.queue = append(s.queue[:i], s.queue[i+1:]...)
			s.mu.Unlock()
			return
		}
	}
	s.mu.Unlock()
	// The request got a slot at the same moment.
	s.leave()
}

// drawServiceTime draws the service time of a request that starts now.
func (s *Server) drawServiceTime(uri string) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	factor := s.slowdown(time.Now()) * math.Exp(s.Spread*s.rnd.NormFloat64())
	if s.Knee > 0 && float64(s.running) > s.Knee*float64(s.Slots) {
		factor *= s.KneeFactor
	}
	if s.unreported > 0 {
		factor *= s.unreported
	}
	return time.Duration(factor * float64(s.meanServiceTime(uri)))
}

// meanServiceTime returns the mean base service time of requests for uri.
func (s *Server) meanServiceTime(uri string) time.Duration {
	for _, w := range s.serviceTimes {
		if strings.HasPrefix(uri, w.Prefix) {
			return w.Mean
		}
	}
	return 0
}

// slowdown returns the present ratio of service time to base service time, without the effect
// of the knee. The mutex must be held.
func (s *Server) slowdown(now time.Time) float64 {
	age := now.Sub(s.started)
	factor := 1.0
	if now.Before(s.coldUntil) {
		factor = s.WarmUpFactor
	}
	if s.Neighbours.Period == 0 {
		return factor
	}
	for period := int64(age / s.Neighbours.Period); s.period < period; s.period++ {
		s.slow = s.rnd.Float64() < s.Neighbours.Share
	}
	if s.slow {
		factor *= s.Neighbours.Factor
	}
	return factor
}

func (s *Server) answer(m *exchange.Message, status int) *mesh.Answer {
	s.mu.Lock()
	defer s.mu.Unlock()
	header := http.Header{}
	header.Set(Dialect.Headers.RequestID, m.Header.Get(Dialect.Headers.RequestID))
	header.Set(Dialect.Headers.Signature, strconv.Itoa(s.ran))
	if s.limit != "" {
		header.Set(Dialect.Headers.RequestsPerSecond, s.limit)
	}
	header.Set(Dialect.Headers.Load, fmt.Sprintf("%d %g", s.running, s.slowdown(time.Now())))
	return &mesh.Answer{Status: status, Header: header}
}

func (s *Server) answerHealthCheck(m *exchange.Message) *mesh.Answer {
	answer := s.answer(m, http.StatusOK)
	s.mu.Lock()
	defer s.mu.Unlock()
	answer.Header.Set(Dialect.Headers.Target, "i-1")
	if remaining := time.Until(s.coldUntil); remaining > 0 {
		answer.Header.Set(Dialect.Headers.ColdRemainingMs, strconv.FormatInt(remaining.Milliseconds()+1, 10))
	}
	return answer
}
