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

// phase is how far the race between the two copies of a request has come.
type phase uint8

const (
	// armed: the second copy waits for its time.
	armed phase = iota
	// running: both are, or the second one has failed and the first goes on.
	running
	// won: the second copy's answer is the request's.
	won
	// settled: the first copy has ended, and no second one starts or counts any more.
	settled
)

// hedge sends a second copy of an idempotent request that takes longer than
// most to another target; the first good answer holds and the other copy is cancelled
// (Dean and Barroso, "The Tail at Scale", CACM 56(2), 2013). It guards against a server
// that slows down, freezes or loses track of a connection with the request in
// flight, which no choice of a target can foresee: the caller would wait until its deadline.
//
// The first copy runs on the caller's goroutine, and only when the timer fires
// is there another one; so an answer that comes in time costs no more than the timer.
// mu guards all fields but the two flags.
type hedge struct {
	entry *Entry
	timer *time.Timer

	mu    sync.Mutex
	phase phase
	ctx   context.Context
	view  *pick.View
	x     *request
	tried []*pick.Target
	// target has the second copy, whose result is in copy once done is closed.
	target *pick.Target
	cancel context.CancelFunc
	done   chan struct{}
	copy   reply

	// firstLost and copyLost say that a copy was cancelled because the other answered.
	firstLost, copyLost atomic.Bool
}

// newHedge returns a hedge for an entry's pool, which keeps those whose copy
// never started. One that did may still be in use by its goroutine.
func newHedge() any {
	h := &hedge{}
	h.timer = time.AfterFunc(time.Hour, h.fire)
	h.timer.Stop()
	return h
}

// mayHedge says whether a second copy of the request may be sent at all: of one
// that can be sent again whole, under no key or ticket, and of which no like has crashed
// a backend server: such a one must not run in two places.
func (x *request) mayHedge() bool {
	return x.service.HedgePercent > 0 && !x.once && !x.stream && !x.suspected && !x.hedged &&
		x.key == "" && x.ticket == nil && len(x.service.Targets) > 1
}

// arm starts the wait for the second copy, or returns nil if there is to be none:
// nothing below a copy or a retry is copied again.
func (e *Entry) arm(ctx context.Context, v *pick.View, x *request, tried []*pick.Target) *hedge {
	after := x.service.HedgeAfter()
	if after == 0 || !x.chain.Fresh() {
		return nil
	}
	h := e.hedges.Get().(*hedge)
	h.mu.Lock()
	h.entry, h.ctx, h.view, h.x, h.tried = e, ctx, v, x, tried
	h.mu.Unlock()
	h.timer.Reset(after)
	return h
}

// fire runs on a goroutine of its own once the first copy has taken too long.
func (h *hedge) fire() {
	out := h.start()
	if out == nil {
		return
	}
	defer h.entry.copies.Done()
	h.finish(h.entry.offerCopy(out.Context(), h.view, h.target, out, &h.copyLost))
}

// start decides whether the second copy is sent, pays for it and gives it.
func (h *hedge) start() *http.Request {
	h.mu.Lock()
	defer h.mu.Unlock()
	e, x := h.entry, h.x
	if h.phase != armed || h.ctx.Err() != nil || e.crashed(x) {
		return nil
	}
	ask := &pick.Ask{Draw: pick.Draw{Now: e.now(), Rand: pick.SharedRand}, Tried: h.tried}
	target := x.service.ChooseHedge(ask)
	if target == nil || !x.account.Hedge() {
		return nil
	}
	// The copy goes down the call chain as a retry does.
	x.chain--
	x.hedged = true
	out, _ := x.outgoing()
	out.Header.Set(headers.Exchange, e.exchangeID())
	deadline, _ := h.ctx.Deadline()
	ctx, cancel := context.WithDeadline(x.in.Context(), deadline)
	h.phase, h.target, h.cancel, h.done = running, target, cancel, make(chan struct{})
	e.copies.Add(1)
	return out.WithContext(ctx)
}

// crashed says whether requests like this one crashed a backend server since it
// was admitted.
func (e *Entry) crashed(x *request) bool {
	v := e.view.Load()
	return len(v.Suspects) > 0 && v.Suspects[x.print()].Level != suspect.Innocent
}

// finish takes the second copy's result. A good one ends the first copy; one that
// comes after the first has answered is dropped unread.
func (h *hedge) finish(r reply) {
	h.mu.Lock()
	defer h.mu.Unlock()
	defer close(h.done)
	h.x.account.Offered(r.refused())
	if r.err != nil || r.held != nil {
		h.cancel()
	} else {
		r.cancel = h.cancel
	}
	if h.phase == settled {
		r.drop()
		return
	}
	h.copy = r
	if r.good() {
		h.phase = won
		h.x.account.HedgeWon()
		h.firstLost.Store(true)
		h.x.cancel()
	}
}

// settle takes the first copy's result and gives the request's, once there is
// one. What else went wrong is noted in s.
func (h *hedge) settle(first reply, s *search) reply {
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
	case first.good():
		return h.firstWins(first)
	case first.err != nil && first.err.Death != 0:
		// The second copy may be killing its server too. Cancelled in time it
		// doesn't, and the request goes on alone, as one without a copy does.
		h.cancel()
	}
	h.mu.Unlock()
	<-h.done
	return h.better(first, s)
}

// firstWins cancels the second copy. The mutex is held.
func (h *hedge) firstWins(first reply) reply {
	defer h.mu.Unlock()
	h.phase = settled
	h.copyLost.Store(true)
	h.cancel()
	h.copy.drop()
	if h.copy.err != nil {
		h.entry.noteDeath(h.x, h.copy.err)
	}
	return first
}

// better chooses among two results, neither of which is a good answer of the
// first copy: a good answer, else one that a backend server gave, else the
// error that says less.
func (h *hedge) better(first reply, s *search) reply {
	second := h.copy
	switch {
	case second.err == nil && (second.good() || first.err != nil):
		if !h.firstLost.Load() {
			s.note(first.err)
		}
		first.drop()
		return second
	case first.err == nil:
		s.note(second.err)
		second.drop()
		return first
	case first.err.Said() == kind.NotRun && second.err.Said() != kind.NotRun:
		s.note(first.err)
		return second
	}
	s.note(second.err)
	return first
}

// recycle keeps a hedge whose timer was stopped in time for another request.
func (h *hedge) recycle() {
	h.mu.Lock()
	pool := &h.entry.hedges
	h.entry, h.ctx, h.view, h.x, h.tried = nil, nil, nil, nil, nil
	h.mu.Unlock()
	pool.Put(h)
}

// WaitCopies waits until no second copy is left, or ctx ends. A cancelled one
// outlives its request by moments.
func (e *Entry) WaitCopies(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		e.copies.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
}
