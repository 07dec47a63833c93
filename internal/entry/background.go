package entry

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/limpetdock/limpetdock/fleet"
	"github.com/limpetdock/limpetdock/internal/clock"
	"github.com/limpetdock/limpetdock/internal/headers"
	"github.com/limpetdock/limpetdock/internal/pick"
	"github.com/limpetdock/limpetdock/internal/place"
	"github.com/limpetdock/limpetdock/internal/wire"
)

const (
	// warmEvery is the mean pause between two connections opened ahead of use. At the
	// target size an entry has some 180 near targets and is warm after 40 s.
	warmEvery = 200 * time.Millisecond
	// warmTimeout bounds opening one.
	warmTimeout = 2 * time.Second
	// probeEvery is the pause between two tries to probe; the measuring budget
	// decides how many of them are made.
	probeEvery = 25 * time.Millisecond
	// probeTimeout bounds one probe: what takes longer is too old to be of use.
	probeTimeout = 500 * time.Millisecond
	// probeAfter is how long after its last request a service is still probed.
	probeAfter = time.Second
)

// Run opens connections ahead of use and sends probes until ctx ends.
func (e *Entry) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { e.warmUp(ctx) })
	wg.Go(func() { e.probe(ctx, &wg) })
	wg.Wait()
}

// warmUp opens a connection to each near target once, one after the other at
// random times: after a zone has come back, all entries together would
// otherwise open thousands within a second.
func (e *Entry) warmUp(ctx context.Context) {
	warm := map[string]bool{}
	for clock.Sleep(ctx, warmEvery/2+rand.N(warmEvery)) {
		v := e.view.Load()
		if t := coldest(v, warm); t != nil {
			warm[t.Guard] = true
			e.open(ctx, v.Config.Fleet(), t)
		}
	}
}

// coldest gives a near target that no connection was opened to, or nil.
func coldest(v *pick.View, warm map[string]bool) *pick.Target {
	if v == nil {
		return nil
	}
	for _, s := range v.Services {
		for _, t := range s.Targets[:s.InRegion] {
			if t.Guard != "" && !t.Leaving && !v.Local(t) && !warm[t.Guard] {
				return t
			}
		}
	}
	return nil
}

// open sends a request for no service, which any guard refuses at once. The
// refusal names the guard's incarnation, so that the first at-most-once
// attempt there isn't refused for naming none.
func (e *Entry) open(ctx context.Context, fleetName string, t *pick.Target) {
	ctx, cancel := context.WithTimeout(ctx, warmTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+t.Guard+"/", nil)
	if err != nil {
		return
	}
	req.Header.Set(headers.Fleet, fleetName)
	resp, err := e.remote.RoundTrip(req)
	if err != nil {
		return
	}
	learn(t, resp)
	// The connection is kept only if the answer was read to its end.
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, maxHeldAnswer))
	_ = resp.Body.Close()
}

// probe probes the targets of services that choose by probes and have traffic,
// those with the oldest reports first.
func (e *Entry) probe(ctx context.Context, wg *sync.WaitGroup) {
	turn := 0
	for clock.Sleep(ctx, probeEvery/2+rand.N(probeEvery)) {
		v := e.view.Load()
		if v == nil {
			continue
		}
		turn++
		if t := probeTarget(v, e.now(), turn); t != nil && e.mayProbe(t) {
			wg.Go(func() { e.probeOne(ctx, t) })
		}
	}
}

// probeTarget gives the target to probe next, or nil if none needs to be.
func probeTarget(v *pick.View, now time.Duration, turn int) *pick.Target {
	var due []*pick.Service
	for _, s := range v.Services {
		if s.Policy == fleet.PolicyProbe && s.AskedWithin(now, probeAfter) {
			due = append(due, s)
		}
	}
	if len(due) == 0 {
		return nil
	}
	t := due[turn%len(due)].Stalest(pick.Draw{Now: now, Rand: pick.SharedRand})
	if t == nil || v.Local(t) {
		return nil
	}
	return t
}

func (e *Entry) mayProbe(t *pick.Target) bool {
	if e.measuring == nil {
		return false
	}
	return e.measuring.AllowRequest(e.peers.Cost(&wire.Probe{}), t.Distance == place.OtherRegion)
}

// probeOne asks one target. No answer is no evidence: the peer may have been
// over its own budget. Requests will tell.
func (e *Entry) probeOne(ctx context.Context, t *pick.Target) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	sent := e.now()
	m, err := e.peers.Call(ctx, t.Control, &wire.Probe{})
	if err != nil {
		return
	}
	l, ok := m.(*wire.Load)
	if !ok {
		return
	}
	t.MeasuredRTT(e.now() - sent)
	t.Report(pick.Report{
		Running: int(l.Running), Waiting: int(l.Waiting), Slots: int(l.Slots),
		Service: time.Duration(l.ServiceUs) * time.Microsecond, At: e.now(),
	})
}
