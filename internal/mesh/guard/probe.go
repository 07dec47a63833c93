package guard

import (
	"context"
	"net/http"
	"time"

	"github.com/limpetdock/limpetdock/internal/mesh/exchange"
)

const (
	// probeEvery is the pause between looks at the age of the load. Neighbours on
	// shared machines change a few times a second; half of a phase is the age at
	// which a report begins to mislead.
	probeEvery = 100 * time.Millisecond
	// staleLoad is the age from which the backend server is asked for its load
	// while requests come.
	staleLoad = 120 * time.Millisecond
	// busyFor is how long after a request the load is of interest.
	busyFor = 500 * time.Millisecond
	// quietProbe is the pause between questions while no requests come: an entry
	// that looks for a free target should know of this one.
	quietProbe = 2 * time.Second
	// probeTimeout bounds one.
	probeTimeout = 500 * time.Millisecond
)

// Probe asks the backend server for its load whenever traffic doesn't tell it,
// until ctx ends.
func (g *Guard) Probe(ctx context.Context) {
	ticker := time.NewTicker(probeEvery)
	defer ticker.Stop()
	for {
		if g.probeDue() {
			g.probe(ctx)
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func (g *Guard) probeDue() bool {
	v := g.view.Load()
	if v == nil || v.Own == nil {
		return false
	}
	age := g.Now() - time.Duration(g.toldAt.Load())
	if g.toldAt.Load() == 0 {
		return true
	}
	if g.Now()-time.Duration(g.askedAt.Load()) < busyFor {
		return age >= staleLoad
	}
	return age >= quietProbe
}

func (g *Guard) probe(ctx context.Context) {
	if g.probing.Swap(true) {
		return
	}
	defer g.probing.Store(false)
	v := g.view.Load()
	if v == nil || v.Own == nil {
		// The registration may end while requests that came before still wait.
		return
	}
	svc := v.Config.Services[g.Here.Service]
	if svc == nil || svc.HealthPath == "" {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	g.probes.Add(1)
	// Unanswered, it is asked again only after the usual pause.
	g.toldAt.Store(int64(g.Now()))
	answer, failure := g.Backend.Do(ctx, &exchange.Message{
		Method: http.MethodGet, URI: svc.HealthPath, Host: v.Own.Addr, Header: http.Header{},
	}, func() bool { return true })
	if failure != nil {
		return
	}
	g.learn(answer.Header)
}
