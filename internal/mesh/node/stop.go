package node

import (
	"time"
)

const (
	// leastStop is how long a stopping node serves on at least: the platform takes
	// it out after two missed readiness checks a second apart, and its callers open
	// connections until then.
	leastStop = 2500 * time.Millisecond
	// guardStop is how long its backend server, which runs on, still takes requests
	// of other nodes: they would find it idle otherwise while the own callers leave.
	guardStop = 1500 * time.Millisecond
	// stopMargin is kept off the grace, after which the process is killed.
	stopMargin = 400 * time.Millisecond
	// stopEvery is the pause between looks whether everything has ended.
	stopEvery = 20 * time.Millisecond
	// flushWithin bounds the wait for the last lines of the log.
	flushWithin = 50 * time.Millisecond
)

// stop ends the node without cutting off a request: other nodes soon
// send no more, callers are told to use another connection with their next answer, and what is
// in flight ends first, for as long as the grace lasts. Requests that could
// outlast it are refused.
func (p *parts) stop() {
	began := time.Now()
	p.Log.Change("stopping", "active", p.Front.Active(), "guard_active", p.Guard.Active())
	p.Admin.stopping.Store(true)
	guardStops := time.AfterFunc(guardStop, p.Guard.Stop)
	defer guardStops.Stop()
	p.Front.Drain()
	p.Peers.Stop()
	limit := p.Settings.StopGrace - stopMargin
	p.Entry.Stop(p.Now() + limit)
	for time.Since(began) < limit {
		time.Sleep(stopEvery)
		if time.Since(began) >= leastStop && allEnded(p.guardIdle, p.Peers.Delivered, p.Front.Finish) {
			break
		}
	}
	p.Log.Change("stopped", "active", p.Front.Active(), "guard_active", p.Guard.Active(), "took_ms", time.Since(began).Milliseconds())
	p.Log.Flush(flushWithin)
	p.Front.Close()
	p.Peers.Close()
	p.Backend.Close()
}

func (p *parts) guardIdle() bool { return p.Guard.Active() == 0 }

// allEnded asks in order whether everything has ended, up to the first that hasn't. What
// stops taking requests when it is asked has to come last: until the process ends,
// callers get no answer from it.
func allEnded(ended ...func() bool) bool {
	for _, f := range ended {
		if !f() {
			return false
		}
	}
	return true
}
