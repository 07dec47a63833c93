package node

import (
	"context"
	"sync"
	"time"

	"github.com/limpetdock/limpetdock/internal/pick"
)

const (
	// tellPeers is how long a stopping node goes on as before but for new work at
	// its guard, so that peers hear of it and choose other targets.
	tellPeers = 300 * time.Millisecond
	// collectFor is how long answers can still be collected after the last run.
	collectFor = 500 * time.Millisecond
	// handKeysFor bounds how long handing the keys on may hold up a stop.
	handKeysFor = 2 * time.Second
	// stopSlack is what a stop may take beyond the grace and the limit.
	stopSlack = 5 * time.Second
)

// stop ends the node without cutting what is in flight, in the order in which
// one part needs another: callers' requests need the entry, the entry needs
// guards, attempts are asked about at the guard and the control port.
func (p parts) stop() {
	p.Log.Info("stopping")
	p.Loop.SetStopping()
	p.Guard.SetLeaving(true)
	time.Sleep(tellPeers)
	p.Servers.callers.stopAccepting()
	p.askToClose()
	limit, cancel := context.WithTimeout(context.Background(), stopLimit(p.Settings.StopLimit, p.Entry.View()))
	defer cancel()
	if err := p.Servers.callers.server.Shutdown(limit); err != nil {
		p.Log.Error(err, "callers cut off at the stop limit")
	}
	p.Entry.WaitCopies(limit)
	p.waitForRuns(limit)
	p.handKeys()
	if err := p.Servers.guard.server.Shutdown(limit); err != nil {
		p.Log.Error(err, "entries cut off at the stop limit")
	}
	p.Loop.Stop()
	p.Servers.closeControl()
	_ = p.Servers.admin.server.Close()
	p.Entry.Close()
	p.Guard.Close()
	p.Dialer.Close()
	p.Platform.Close()
	p.Log.Info("stopped")
}

// handKeys hands callers' own keys to the next process of the VM, now that
// nothing runs under them any more.
func (p parts) handKeys() {
	ctx, cancel := context.WithTimeout(context.Background(), handKeysFor)
	defer cancel()
	p.Loop.HandKeys(ctx)
}

// stopLimit is how long a stop may wait for requests in flight: the service's
// declared drain time, but no longer than the node's settings allow.
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

// askToClose lets callers and entries close their connections themselves, by a
// word in their next answer. Those that stay idle for the whole grace are closed later.
func (p parts) askToClose() {
	grace, cancel := context.WithTimeout(context.Background(), p.Settings.StopGrace)
	defer cancel()
	var wg sync.WaitGroup
	wg.Go(func() { p.Servers.callers.drainer.drain(grace) })
	wg.Go(func() { p.Servers.guard.drainer.drain(grace) })
	wg.Wait()
}

// waitForRuns waits for at-most-once runs whose entry has gone, and then a
// little for entries that come back for an answer over a new connection.
func (p parts) waitForRuns(limit context.Context) {
	done := make(chan struct{})
	go func() {
		p.Guard.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-limit.Done():
		p.Log.Info("runs cut off at the stop limit")
		return
	}
	if records, _ := p.Guard.Attempts(); records > 0 {
		time.Sleep(collectFor)
	}
}
