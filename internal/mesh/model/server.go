// Package model has backend servers and callers that run in the time of their test or
// experiment, without a network: what decisions about load are tried on. In a bubble of
// testing/synctest minutes of a deployment take moments.
package model

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/limpetdock/limpetdock/internal/mesh"
	"github.com/limpetdock/limpetdock/internal/mesh/exchange"
)

// HealthPath is where a Server tells its load.
const HealthPath = "/health"

// Dialect is how a Server names headers and tells its load: "RUNNING SLOWDOWN".
var Dialect = mesh.Dialect{
	Headers: mesh.HeaderNames{
		RequestID: "X-Id", TimeoutMs: "X-Timeout", Signature: "X-Signature", ExpectedTarget: "X-Expected",
		Load: "X-Load", NotRun: "X-Not-Run", Caller: "X-Caller", Target: "X-Target",
	},
	ParseLoad: func(v string) (mesh.BackendLoad, bool) {
		l := mesh.BackendLoad{}
		n, err := fmt.Sscanf(v, "%d %f", &l.Running, &l.Slowdown)
		return l, err == nil && n == 2
	},
}

// Backend says what a Server is like.
type Backend struct {
	// Slots is how many requests it runs at once, and Queue how many wait.
	Slots, Queue int
	// Knee is the share of the slots up to which requests run at full speed; a request
	// that is started beyond takes KneeTimes as long. 0 is no knee.
	Knee, KneeTimes float64
	// Neighbours take turns on its VM: in a Share of them work takes Times as long.
	Neighbours Neighbours
	// Cold is for how long after its start work takes ColdTimes as long.
	Cold      time.Duration
	ColdTimes float64
	// Silent doesn't answer what it can't queue, nor anything else on that connection;
	// others refuse it.
	Silent bool
	// Spread is the deviation of the logarithm of what requests of one route take.
	Spread float64
}

// Neighbours are what else runs on a VM.
type Neighbours struct {
	Share, Times float64
	Turn         time.Duration
}

// Work is how long the requests of a path prefix take.
type Work struct {
	Prefix string
	Mean   time.Duration
}

// Server is one backend server. Safe for concurrent use.
type Server struct {
	Backend
	works   []Work
	mu      sync.Mutex
	rnd     *rand.Rand
	started time.Time
	running int
	queue   []chan struct{}
	// turn is the number of the neighbours' last turn, and slow whether it is a slow one.
	turn int64
	slow bool
	ran  int
}

// NewServer starts a backend server whose luck is drawn from a seed.
func NewServer(b Backend, works []Work, seed uint64) *Server {
	return &Server{Backend: b, works: works, rnd: rand.New(rand.NewPCG(seed, seed)), started: time.Now(), turn: -1}
}

// Ran gives how many requests it ran to their end.
func (s *Server) Ran() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ran
}

var (
	errSilent = eris.New("no answer")
	errLeft   = eris.New("the exchange was broken off")
)

// Do makes an exchange as a client of the server would.
func (s *Server) Do(ctx context.Context, m *exchange.Message, allow func() bool) (*mesh.Answer, *exchange.Failure) {
	if m.URI == HealthPath {
		return s.answer(m, http.StatusOK), nil
	}
	if !allow() {
		return nil, &exchange.Failure{Outcome: exchange.NotSent, Cause: errLeft}
	}
	admitted, full := s.enter()
	switch {
	case full && s.Silent:
		<-ctx.Done()
		return nil, &exchange.Failure{Outcome: exchange.Unknown, Cause: errSilent}
	case full:
		refusal := s.answer(m, http.StatusServiceUnavailable)
		refusal.Header.Set(Dialect.Headers.NotRun, "1")
		return refusal, nil
	}
	select {
	case <-admitted:
	case <-ctx.Done():
		s.leaveQueue(admitted)
		return nil, &exchange.Failure{Outcome: exchange.Unknown, Cause: errLeft}
	}
	return s.run(ctx, m)
}

// run runs a request that has a slot.
func (s *Server) run(ctx context.Context, m *exchange.Message) (*mesh.Answer, *exchange.Failure) {
	timer := time.NewTimer(s.takes(m.URI))
	defer timer.Stop()
	defer s.leave()
	select {
	case <-timer.C:
	case <-ctx.Done():
		return nil, &exchange.Failure{Outcome: exchange.Unknown, Cause: errLeft}
	}
	s.mu.Lock()
	s.ran++
	s.mu.Unlock()
	return s.answer(m, http.StatusOK), nil
}

// enter gives a channel that tells of the slot, unless the server is full.
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

// leave gives a slot back.
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

// leaveQueue takes a request that was broken off out of the queue.
func (s *Server) leaveQueue(admitted chan struct{}) {
	s.mu.Lock()
	for i, one := range s.queue {
		if one == admitted {
			s.queue = append(s.queue[:i], s.queue[i+1:]...)
			s.mu.Unlock()
			return
		}
	}
	s.mu.Unlock()
	// It was given a slot at the same moment.
	s.leave()
}

// takes draws how long a request takes that starts now.
func (s *Server) takes(uri string) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	times := s.slowdown(time.Now()) * math.Exp(s.Spread*s.rnd.NormFloat64())
	if s.Knee > 0 && float64(s.running) > s.Knee*float64(s.Slots) {
		times *= s.KneeTimes
	}
	return time.Duration(times * float64(s.mean(uri)))
}

// mean gives how long the requests of a path usually take.
func (s *Server) mean(uri string) time.Duration {
	for _, w := range s.works {
		if strings.HasPrefix(uri, w.Prefix) {
			return w.Mean
		}
	}
	return 0
}

// slowdown gives how many times as long work takes now, but for the knee. The mutex is
// held.
func (s *Server) slowdown(now time.Time) float64 {
	age := now.Sub(s.started)
	times := 1.0
	if age < s.Cold {
		times = s.ColdTimes
	}
	if s.Neighbours.Turn == 0 {
		return times
	}
	for turn := int64(age / s.Neighbours.Turn); s.turn < turn; s.turn++ {
		s.slow = s.rnd.Float64() < s.Neighbours.Share
	}
	if s.slow {
		times *= s.Neighbours.Times
	}
	return times
}

func (s *Server) answer(m *exchange.Message, status int) *mesh.Answer {
	s.mu.Lock()
	defer s.mu.Unlock()
	header := http.Header{}
	header.Set(Dialect.Headers.RequestID, m.Header.Get(Dialect.Headers.RequestID))
	header.Set(Dialect.Headers.Signature, strconv.Itoa(s.ran))
	header.Set(Dialect.Headers.Load, fmt.Sprintf("%d %g", s.running, s.slowdown(time.Now())))
	return &mesh.Answer{Status: status, Header: header}
}
