package entry

import (
	"context"
	"errors"
	"net/http"
	"syscall"
	"time"

	"github.com/limpetdock/limpetdock/internal/attempt"
	"github.com/limpetdock/limpetdock/internal/headers"
	"github.com/limpetdock/limpetdock/internal/kind"
	"github.com/limpetdock/limpetdock/internal/pick"
	"github.com/limpetdock/limpetdock/internal/wire"
)

const (
	// resolvePause is the pause between two tries to ask a guard.
	resolvePause = 50 * time.Millisecond
	// unheardLimit is how long a guard that doesn't answer is asked about an
	// attempt. Past it the caller gets its answer, "unknown", at once.
	unheardLimit = 2 * time.Second
	// refusedLimit is the same for a guard whose VM refuses connections: its
	// process has ended, and its records with it.
	refusedLimit = 200 * time.Millisecond
)

// sent is an attempt on its way: what it is called, and where.
type sent struct {
	target   *pick.Target
	id       string
	identity pick.Identity
	// again says that another copy may be sent under the same id, so that one
	// that hasn't arrived needs no seal.
	again bool
}

// resolve finds out, over new connections, what became of an attempt whose
// exchange broke, and delivers its answer if it has one. It ends at the latest
// when the incarnation that alone can know is gone or can't be reached.
func (e *Entry) resolve(ctx context.Context, w http.ResponseWriter, s sent) *kind.Error {
	e.remote.Drop(s.target.Guard)
	e.counters.Resolved.Add(1)
	p := patience{since: e.now()}
	for {
		heard, err := e.resolveOnce(ctx, w, s)
		if err == nil || !open(err) {
			return err
		}
		if heard {
			p.heard(e.now())
		}
		if p.out(e.now(), err.Cause) || ctx.Err() != nil {
			return kind.New(kind.OutcomeUnknown, "the target that may have run the request can't be asked").Because(err.Cause)
		}
		select {
		case <-ctx.Done():
		case <-time.After(resolvePause):
		}
	}
}

// open says whether the fate of an attempt is still to be found out: an
// exchange broke, and no guard has said what came of it.
func open(err *kind.Error) bool {
	switch err.Kind {
	case kind.OutcomeUnknown:
		return !err.FromGuard
	case kind.BackendBroken:
		// An answer that broke off between two nodes; the guard may keep it whole.
		return !err.FromGuard
	}
	return false
}

// resolveOnce asks once, and collects the answer if there is to be one. heard
// says that the guard has replied.
func (e *Entry) resolveOnce(ctx context.Context, w http.ResponseWriter, s sent) (heard bool, failed *kind.Error) {
	reply, err := e.ask(ctx, s.target, &wire.Seal{
		Incarnation: s.identity.Incarnation, Attempt: s.id, Tick: s.identity.Tick, AskOnly: s.again,
	})
	if err != nil {
		return false, kind.New(kind.OutcomeUnknown, "the target can't be asked").Because(err)
	}
	if s.again && (reply.State == wire.AttemptAbsent || reply.State == wire.AttemptWaiting) {
		return true, kind.New(kind.StaleAttempt, "the request hasn't started at its target")
	}
	switch attempt.Next(reply, s.identity.Incarnation) {
	case attempt.Elsewhere:
		sealed := kind.New(kind.Sealed, "the request was sealed before it ran")
		sealed.FromGuard = true
		return true, sealed
	case attempt.Collect:
		return true, e.collect(ctx, w, s)
	}
	gone := kind.New(kind.OutcomeUnknown, "the process that may have run the request is gone, or can't tell")
	gone.FromGuard = true
	return true, gone
}

// collect gets the kept answer of an attempt and delivers it.
func (e *Entry) collect(ctx context.Context, w http.ResponseWriter, s sent) *kind.Error {
	out, err := http.NewRequest(http.MethodGet, "http://"+s.target.Guard+"/", nil)
	if err != nil {
		return kind.From(err)
	}
	out.Header.Set(headers.Collect, s.id)
	out.Header.Set(headers.Incarnation, formatHex(s.identity.Incarnation))
	resp, failed := e.send(ctx, e.View(), s.target, out)
	if failed != nil {
		// That the guard can't be reached now says nothing about the attempt.
		if failed.Said() == kind.NotRun && !failed.FromGuard {
			return kind.New(kind.OutcomeUnknown, "the answer can't be collected").Because(failed.Cause)
		}
		return failed
	}
	return deliver(w, resp)
}

// ask sends a question about an attempt to its target's control side.
func (e *Entry) ask(ctx context.Context, t *pick.Target, q *wire.Seal) (*wire.Sealed, error) {
	if v := e.View(); v != nil && v.Local(t) {
		return e.seal(q), nil
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	m, err := e.peers.CallNew(ctx, t.Control, q)
	if err != nil {
		return nil, err
	}
	reply, ok := m.(*wire.Sealed)
	if !ok {
		return nil, kind.New(kind.OutcomeUnknown, "the target answered something else")
	}
	return reply, nil
}

// patience bounds how long a guard that doesn't answer is asked.
type patience struct {
	since   time.Duration
	refused int
	replies int
}

const (
	// maxRefused is how many refused connections show that a process has ended.
	maxRefused = 3
	// maxReplies is how often a guard that replies is asked, when each time the
	// answer breaks off before it has been collected.
	maxReplies = 5
)

// heard starts the wait anew: the guard is there, and the run may take long.
func (p *patience) heard(now time.Duration) {
	p.since, p.refused = now, 0
	p.replies++
}

func (p *patience) out(now time.Duration, err error) bool {
	if p.replies >= maxReplies {
		return true
	}
	if errors.Is(err, syscall.ECONNREFUSED) {
		p.refused++
	}
	if p.refused >= maxRefused && now-p.since >= refusedLimit {
		return true
	}
	return now-p.since >= unheardLimit
}
