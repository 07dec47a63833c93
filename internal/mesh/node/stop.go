package node

import (
	"context"
	"sync"
	"time"
)

const (
	// minStopTime is how long a stopping node keeps serving at least: the platform
	// removes it after two failed readiness checks a second apart, and callers open
	// connections until then.
	minStopTime = 2500 * time.Millisecond
	// guardStopDelay is how long the guard keeps admitting requests of other nodes. The
	// backend server runs on and would be idle while the node's own callers leave.
	guardStopDelay = 1500 * time.Millisecond
	// stopMargin is reserved at the end of the grace, after which the process is killed.
	stopMargin = 400 * time.Millisecond
	// finalAnswerTimeout bounds how long the final answers to requests that are open at the
	// end of the grace may take. It is a part of stopMargin.
	finalAnswerTimeout = 250 * time.Millisecond
	// stopPollInterval is the pause between checks whether all work has ended.
	stopPollInterval = 20 * time.Millisecond
	// flushTimeout bounds the wait for the last lines of the log.
	flushTimeout = 50 * time.Millisecond
)

// stop stops the node without dropping a request: other nodes stop sending after a short time,
// callers are told to use another connection in their next response, and requests in flight
// end first, for as long as the grace lasts. Requests that are open after that get their final
// answers before their connections are closed.
func (p *components) stop() {
	began := time.Now()
	p.Log.Event("stopping", "active", p.Front.Active(), "guard_active", p.Guard.Active())
	p.Admin.stopping.Store(true)
	guardTimer := time.AfterFunc(guardStopDelay, p.Guard.Stop)
	defer guardTimer.Stop()
	p.Front.Drain()
	p.Peers.StopBootstrap()
	limit := p.Settings.StopGrace - stopMargin
	p.Entry.Stop(p.Now() + limit)
	awaitIdle(limit, p.guardIdle, p.Peers.Delivered, p.callersIdle)
	active, unanswered := p.endRequests(limit - time.Since(began))
	p.Log.Event("stopped", "active", active, "unanswered", unanswered, "guard_active", p.Guard.Active(), "took_ms", time.Since(began).Milliseconds())
	p.Log.Flush(flushTimeout)
	p.Backend.Close()
}

// endRequests stops reading callers' requests and waits for those that were read, at most for the
// given time. Then it ends those that are left, and those of other nodes, with an answer. It returns
// how many requests of callers these were, and how many of them could not be answered.
func (p *components) endRequests(within time.Duration) (ended, unanswered int) {
	inTime, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	if p.Front.Shutdown(inTime) != nil {
		ended = p.Front.Active()
	}
	final, cancel := context.WithTimeout(context.Background(), finalAnswerTimeout)
	defer cancel()
	var peers sync.WaitGroup
	// The error says only that time ran out.
	peers.Go(func() { _ = p.Peers.Shutdown(final) })
	unanswered = p.Front.End(final)
	peers.Wait()
	return ended, unanswered
}

func (p *components) guardIdle() bool { return p.Guard.Active() == 0 }

func (p *components) callersIdle() bool { return p.Front.Active() == 0 }

// awaitIdle waits until all of idle return true, at least for minStopTime and at most for
// limit; the limit takes precedence.
func awaitIdle(limit time.Duration, idle ...func() bool) {
	for began := time.Now(); time.Since(began) < limit; {
		time.Sleep(stopPollInterval)
		if time.Since(began) >= minStopTime && allIdle(idle) {
			return
		}
	}
}

func allIdle(idle []func() bool) bool {
	for _, f := range idle {
		if !f() {
			return false
		}
	}
	return true
}
