package entry

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/limpetdock/limpetdock/internal/headers"
	"github.com/limpetdock/limpetdock/internal/kind"
	"github.com/limpetdock/limpetdock/internal/pick"
	"github.com/limpetdock/limpetdock/internal/suspect"
)

// phase is the state of the two copies of a request.
type phase uint8

const (
	// armed: the second copy waits for its timer.
	armed phase = iota
	// running: both copies are in progress, or the second one has failed and the first goes
	// on.
	running
	// won: the second copy's answer is used.
	won
	// settled: the first copy has ended; no second copy is started or used any more.
	settled
)

// hedge sends a second copy of an idempotent request to another target if the first takes
// longer than most. The first usable answer is returned and the other copy is cancelled (Dean
// and Barroso, "The Tail at Scale", CACM 56(2), 2013). It helps if a server slows down,
// freezes or loses a connection while the request is in flight. Choosing a target can't
// prevent that, and the caller would wait until its deadline. The first copy runs on the
// caller's goroutine, and another goroutine starts only when the timer fires, so a fast answer
// costs only the timer. mu guards all fields but the two flags.
type hedge struct {
	entry *Entry
	timer *time.Timer

	mu    sync.Mutex
	phase phase
	ctx   context.Context
	view  *pick.View
	x     *request
	tried []*pick.Target
	// target is where the second copy was sent; its result is in copy once done is closed.
	target *pick.Target
	cancel context.CancelFunc
	done   chan struct{}
	copy   reply

	// firstCancelled and copyCancelled are true if a copy was cancelled because the other one
	// answered.
	firstCancelled, copyCancelled atomic.Bool
}

// newHedge returns a hedge for an entry's pool. Only hedges whose copy never started return to
// the pool; others may still be in use by their goroutine.
func newHedge() any {
	h := &hedge{}
	h.timer = time.AfterFunc(time.Hour, h.run)
	h.timer.Stop()
	return h
}

// mayHedge reports whether a second copy of the request may be sent at all. The request must
// be repeatable as a whole and have no key or ticket. No similar request may have crashed a
// backend server, as such a request must not run in two places.
func (x *request) mayHedge() bool {
	return x.service.HedgePercent > 0 && !x.atMostOnce && !x.stream && !x.suspected && !x.hedged &&
		x.key == "" && x.ticket == nil && len(x.service.Targets) > 1
}

// startHedgeTimer starts the timer of the second copy. It returns nil if there is to be none:
// a request that is itself a copy or a retry, or was caused by one, is not hedged.
func (e *Entry) startHedgeTimer(ctx context.Context, v *pick.View, x *request, tried []*pick.Target) *hedge {
	after := x.service.HedgeDelay()
	if after == 0 || !x.chain.Unused() {
		return nil
	}
	h := e.hedges.Get().(*hedge)
	h.mu.Lock()
	h.entry, h.ctx, h.view, h.x, h.tried = e, ctx, v, x, tried
	h.mu.Unlock()
	h.timer.Reset(after)
	return h
}

// run is called on its own goroutine when the timer fires.
func (h *hedge) run() {
	out := h.start()
	if out == nil {
		return
	}
	defer h.entry.runningHedges.Done()
	h.finish(h.entry.sendAndBuffer(out.Context(), h.view, h.target, out, &h.copyCancelled))
}

// start decides whether the second copy is sent, charges the budget for it and returns it.
func (h *hedge) start() *http.Request {
	h.mu.Lock()
	defer h.mu.Unlock()
	e, x := h.entry, h.x
	if h.phase != armed || h.ctx.Err() != nil || e.becameSuspect(x) {
		return nil
	}
	ask := &pick.Selection{Draw: pick.Draw{Now: e.now(), Rand: pick.SharedRand}, Tried: h.tried}
	target := x.service.ChooseHedge(ask)
	if target == nil || !x.retryBudget.Hedge() {
		return nil
	}
	// The copy uses one retry of the call chain, as a retry does.
	x.chain--
	x.hedged = true
	out, _ := x.outgoing()
	out.Header.Set(headers.Exchange, e.exchangeID())
	deadline, _ := h.ctx.Deadline()
	ctx, cancel := context.WithDeadline(x.in.Context(), deadline)
	h.phase, h.target, h.cancel, h.done = running, target, cancel, make(chan struct{})
	e.runningHedges.Add(1)
	return out.WithContext(ctx)
}

// becameSuspect reports whether similar requests have crashed a backend server since this one
// was admitted.
func (e *Entry) becameSuspect(x *request) bool {
	v := e.view.Load()
	return len(v.Suspects) > 0 && v.Suspects[x.print()].Level != suspect.Unsuspected
}

// finish records the second copy's result. A usable one ends the first copy; one that comes
// after the first has answered is discarded.
func (h *hedge) finish(r reply) {
	h.mu.Lock()
	defer h.mu.Unlock()
	defer close(h.done)
	h.x.retryBudget.RecordAttempt(r.refused())
	if r.err != nil || r.buffered != nil {
		h.cancel()
	} else {
		r.cancel = h.cancel
	}
	if h.phase == settled {
		r.discard()
		return
	}
	h.copy = r
	if r.usable() {
		h.phase = won
		h.x.retryBudget.HedgeWon()
		h.firstCancelled.Store(true)
		h.x.cancel()
	}
}

// settle combines the first copy's result with the second's and returns the result of the
// request. Other errors are recorded in s.
func (h *hedge) settle(first reply, s *attemptState) reply {
	if h.timer.Stop() {
		h.recycle()
		return first
	}
	h.mu.Lock()
	if h.phase == armed {
		h.phase = settled
		h.mu.Unlock()
		return first
	}
	s.tried = append(s.tried, h.target)
	switch {
	case h.phase == won:
	case first.usable():
		return h.firstWins(first)
	case first.err != nil && first.err.Death != 0 && !first.err.DeathUncertain:
		// The second copy may crash its server too. Cancelling it in time prevents that, and
		// the request is retried alone, as one without a copy is.
		h.cancel()
	}
	h.mu.Unlock()
	<-h.done
	return h.chooseResult(first, s)
}

// firstWins cancels the second copy. The caller must hold mu; firstWins unlocks it.
func (h *hedge) firstWins(first reply) reply {
	defer h.mu.Unlock()
	h.phase = settled
	h.copyCancelled.Store(true)
	h.cancel()
	h.copy.discard()
	if h.copy.err != nil {
		h.entry.reportDeath(h.x, h.copy.err)
	}
	return first
}

// chooseResult chooses between two results if the first copy has no usable answer. It prefers
// a usable answer, then any answer of a backend server, then an error that doesn't report "not
// run".
func (h *hedge) chooseResult(first reply, s *attemptState) reply {
	second := h.copy
	switch {
	case second.err == nil && (second.usable() || first.err != nil):
		if !h.firstCancelled.Load() {
			s.recordError(first.err)
		}
		first.discard()
		return second
	case first.err == nil:
		s.recordError(second.err)
		second.discard()
		return first
	case first.err.ReportedOutcome() == kind.NotRun && second.err.ReportedOutcome() != kind.NotRun:
		s.recordError(first.err)
		return second
	}
	s.recordError(second.err)
	return first
}

// recycle returns a hedge to the pool if its timer was stopped before it fired.
func (h *hedge) recycle() {
	h.mu.Lock()
	pool := &h.entry.hedges
	h.entry, h.ctx, h.view, h.x, h.tried = nil, nil, nil, nil, nil
	h.mu.Unlock()
	pool.Put(h)
}

// WaitHedges waits until no second copy is running, or ctx ends. A cancelled copy may run
// slightly longer than its request.
func (e *Entry) WaitHedges(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		e.runningHedges.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
}
