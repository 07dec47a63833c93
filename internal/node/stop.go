package node

import (
	"context"
	"sync"
	"time"

	"github.com/limpetdock/limpetdock/internal/pick"
)

const (
	// notifyPeersFor is how long a stopping node continues to work, except for new
	// requests at its guard, so that peers learn of the stop and choose other targets.
	notifyPeersFor = 300 * time.Millisecond
	// collectFor is how long answers can still be collected after the last run.
	collectFor = 500 * time.Millisecond
	// keyTransferTimeout limits how long the transfer of keys may delay a stop.
	keyTransferTimeout = 2 * time.Second
	// stopMargin is the time that a stop may take in addition to the grace period and
	// the stop limit.
	stopMargin = 6 * time.Second
)

// stop shuts the node down. Requests in flight may take until the stop limit; those that
// are still open then get their final answers. Components are stopped before those they depend on: callers' requests need the entry, the entry
// needs guards, and attempts are queried at the guard and the control port.
func (p params) stop() {
	p.Log.Info("stopping")
	p.Loop.SetStopping()
	p.Guard.SetLeaving(true)
	time.Sleep(notifyPeersFor)
	p.Servers.callers.stopAccepting()
	p.drainConnections()
	limit, cancel := context.WithTimeout(context.Background(), stopLimit(p.Settings.StopLimit, p.Entry.View()))
	defer cancel()
	if err := p.Servers.callers.shutdown(limit, p.endRequests); err != nil {
		p.Log.Error(err, "callers cut off at the stop limit")
	}
	p.Entry.WaitHedges(limit)
	p.waitForRuns(limit)
	p.transferKeys()
	if err := p.Servers.guard.shutdown(limit, p.endRequests); err != nil {
		p.Log.Error(err, "entries cut off at the stop limit")
	}
	p.logEnded()
	p.Loop.Stop()
	p.Servers.closeControl()
	_ = p.Servers.admin.server.Close()
	p.Entry.Close()
	p.Guard.Close()
	p.Dialer.Close()
	p.Platform.Close()
	p.Log.Info("stopped")
}

// endRequests ends the requests in flight. Those that haven't started must not take the slots that
// the others release.
func (p params) endRequests() {
	p.Guard.EndStarts()
	p.Servers.endRequests()
}

// logEnded logs how many requests were ended at the stop limit.
func (p params) logEnded() {
	callers, entries := p.Servers.callers.endedRequests.Load(), p.Servers.guard.endedRequests.Load()
	if callers+entries > 0 {
		p.Log.Info("requests ended at the stop limit", "callers", callers, "entries", entries)
	}
}

// transferKeys sends callers' own keys to a peer that keeps them for the next
// process of this VM. No request runs under them any more.
func (p params) transferKeys() {
	ctx, cancel := context.WithTimeout(context.Background(), keyTransferTimeout)
	defer cancel()
	p.Loop.HandKeys(ctx)
}

// stopLimit returns how long a stop may wait for requests in flight: the service's
// declared drain time, but at most the limit in the node's settings.
func stopLimit(allowed time.Duration, v *pick.View) time.Duration {
	if v == nil {
		return allowed
	}
	svc, _ := v.Config.Target(v.Here.VM)
	if svc == nil || svc.Drain == 0 {
		return allowed
	}
	return min(allowed, svc.Drain)
}

// drainConnections asks callers and entries to close their connections, by a header
// in their next answer. Connections that stay idle for the whole grace period are
// closed later.
func (p params) drainConnections() {
	grace, cancel := context.WithTimeout(context.Background(), p.Settings.StopGrace)
	defer cancel()
	var wg sync.WaitGroup
	wg.Go(func() { _ = p.Servers.callers.drainer.drain(grace) })
	wg.Go(func() { _ = p.Servers.guard.drainer.drain(grace) })
	wg.Wait()
}

// waitForRuns waits for at-most-once runs whose entry has disconnected, and then for
// collectFor, so that entries can collect answers over a new connection.
func (p params) waitForRuns(limit context.Context) {
	if err := p.Guard.Wait(limit); err != nil {
		p.Log.Info("runs cut off at the stop limit")
		return
	}
	if records, _ := p.Guard.Attempts(); records > 0 {
		time.Sleep(collectFor)
	}
}
