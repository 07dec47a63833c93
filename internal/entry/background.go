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
	// warmUpInterval is the mean interval between connections opened ahead of use. At the
	// target size an entry has some 180 near targets, and has connected to all of them after
	// 40 s.
	warmUpInterval = 200 * time.Millisecond
	// warmTimeout bounds opening one connection.
	warmTimeout = 2 * time.Second
	// probeInterval is the mean interval between attempts to probe; the measuring budget
	// decides how many of them send a probe.
	probeInterval = 25 * time.Millisecond
	// probeTimeout bounds one probe. A later answer would be too old to be of use.
	probeTimeout = 500 * time.Millisecond
	// probeActiveWindow is how long after its last request a service is still probed.
	probeActiveWindow = time.Second
)

// Run opens connections ahead of use and sends probes until ctx ends.
func (e *Entry) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { e.warmUp(ctx) })
	wg.Go(func() { e.probe(ctx, &wg) })
	wg.Wait()
}

// warmUp opens one connection to each near target, one at a time at random intervals.
// Otherwise all entries together would open thousands of connections within a second after a
// zone has recovered.
func (e *Entry) warmUp(ctx context.Context) {
	warm := map[string]bool{}
	for clock.Sleep(ctx, warmUpInterval/2+rand.N(warmUpInterval)) {
		v := e.view.Load()
		if t := nextUnconnected(v, warm); t != nil {
			warm[t.Guard] = true
			e.openConnection(ctx, v.Config.Fleet(), t)
		}
	}
}

// nextUnconnected returns a near target to which no connection was opened yet, or nil.
func nextUnconnected(v *pick.View, warm map[string]bool) *pick.Target {
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

// openConnection sends a request for no service, which any guard refuses at once. The refusal
// contains the guard's incarnation, so the first at-most-once attempt there isn't refused for
// lacking one.
func (e *Entry) openConnection(ctx context.Context, fleetName string, t *pick.Target) {
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
	recordIdentity(t, resp)
	// The connection is reused only if the answer was read completely.
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, maxBufferedAnswer))
	_ = resp.Body.Close()
}

// probe sends probes to the targets of services that use the probe policy and have traffic,
// those with the oldest reports first.
func (e *Entry) probe(ctx context.Context, wg *sync.WaitGroup) {
	turn := 0
	for clock.Sleep(ctx, probeInterval/2+rand.N(probeInterval)) {
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

// probeTarget returns the target to probe next, or nil if there is none.
func probeTarget(v *pick.View, now time.Duration, turn int) *pick.Target {
	var due []*pick.Service
	for _, s := range v.Services {
		if s.Policy == fleet.PolicyProbe && s.ChosenWithin(now, probeActiveWindow) {
			due = append(due, s)
		}
	}
	if len(due) == 0 {
		return nil
	}
	t := due[turn%len(due)].ProbeTarget(pick.Draw{Now: now, Rand: pick.SharedRand})
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

// probeOne probes one target. A missing answer isn't counted against the target, because the
// peer may have exceeded its own measuring budget.
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
	t.RecordRTT(e.now() - sent)
	t.RecordReport(pick.Report{
		Running: int(l.Running), Waiting: int(l.Waiting), Slots: int(l.Slots),
		Service: time.Duration(l.ServiceUs) * time.Microsecond, At: e.now(),
	})
}
