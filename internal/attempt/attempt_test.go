package attempt_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetdock/limpetdock/internal/attempt"
	"github.com/limpetdock/limpetdock/internal/wire"
)

func claim(id string, at time.Duration) attempt.Claim {
	return attempt.Claim{ID: id, Incarnation: 1, Tick: attempt.Tick(at)}
}

func TestClaimVerdicts(t *testing.T) {
	const now = time.Hour
	ticket := attempt.TicketID("1")
	cases := []struct {
		name  string
		claim attempt.Claim
		want  attempt.Verdict
	}{
		{"fresh", claim("x", now), attempt.Start},
		{"as old as the window", claim("x", now-attempt.Window), attempt.Start},
		{"older than the window", claim("x", now-attempt.Window-time.Second), attempt.Stale},
		{"a tick in the future belongs to another incarnation", claim("x", now+time.Second), attempt.Stale},
		{"another incarnation", attempt.Claim{ID: "x", Incarnation: 2, Tick: attempt.Tick(now)}, attempt.Stale},
		{"no identity known yet", attempt.Claim{ID: "x"}, attempt.Stale},
		{"a ticket in its window", claim(ticket, now-attempt.TicketWindow), attempt.Start},
		{"a ticket past its window whose record would still be kept", claim(ticket, now-attempt.TicketWindow-time.Second), attempt.Expired},
		{"a ticket whose record would have been dropped", claim(ticket, now-attempt.TicketWindow-2*attempt.Window-time.Second), attempt.RecordDropped},
		{"a copy", claim("known", now), attempt.Known},
		{"a late copy", claim("known", 0), attempt.Known},
		{"another request under the id", attempt.Claim{ID: "known", Incarnation: 1, Fingerprint: 7}, attempt.Conflict},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			table := attempt.NewTable(1)
			v, _ := table.Begin(claim("known", now), now)
			require.Equal(t, attempt.Start, v)
			got, _ := table.Begin(c.claim, now)
			require.Equal(t, c.want, got)
		})
	}
}

// A booking ran, and its entry was frozen before the answer arrived. It resumes
// minutes later with a dead connection and asks for the outcome. The record has been
// dropped by then. If the guard sealed an attempt that it doesn't know, the entry
// would book a second time elsewhere.
func TestLateSealOfDroppedRecordProvesNothing(t *testing.T) {
	for _, id := range []string{"try", attempt.TicketID("1")} {
		table := attempt.NewTable(1)
		v, _ := table.Begin(claim(id, 0), 0)
		require.Equal(t, attempt.Start, v)
		table.Finish(id, nil, 0)
		late := attempt.TicketWindow + 3*attempt.Window
		require.Equal(t, wire.AttemptAbsent, table.Seal(claim(id, 0), false, late), id)
	}
}

func TestSealedAttemptNeverRuns(t *testing.T) {
	table := attempt.NewTable(1)
	table.AddPresent("x")
	require.Equal(t, wire.AttemptWaiting, table.Seal(claim("x", 0), true, 0), "a query leaves it in the queue")
	require.Equal(t, wire.AttemptSealed, table.Seal(claim("x", 0), false, 0))
	table.RemovePresent("x")
	v, _ := table.Begin(claim("x", 0), 0)
	require.Equal(t, attempt.Known, v, "it doesn't run when its turn comes")
	require.Equal(t, wire.AttemptAbsent, table.Seal(claim("y", 0), true, 0))
	require.Equal(t, wire.AttemptOtherIncarnation, table.Seal(attempt.Claim{ID: "x", Incarnation: 2}, false, 0))
}

func TestExchangeIsNeverSealed(t *testing.T) {
	table := attempt.NewTable(1)
	id := attempt.ExchangeID("1")
	table.AddPresent(id)
	require.Equal(t, wire.AttemptWaiting, table.Seal(attempt.Claim{ID: id}, false, 0))
	table.RemovePresent(id)
	require.Equal(t, wire.AttemptAbsent, table.Seal(attempt.Claim{ID: id}, false, 0))
}

func TestStoredAnswersAreBounded(t *testing.T) {
	table := attempt.NewTable(1)
	body := make([]byte, attempt.MaxAnswer)
	finish := func(id string, a *attempt.Answer) wire.AttemptState {
		_, _ = table.Begin(claim(id, 0), 0)
		table.Finish(id, a, 0)
		state, _, ended := table.Lookup(id)
		<-ended
		return state
	}
	require.Equal(t, wire.AttemptDone, finish("fits", &attempt.Answer{Status: http.StatusOK, Body: body}))
	require.Equal(t, wire.AttemptLost, finish("long", &attempt.Answer{Body: append(body, 0)}))
	require.Equal(t, wire.AttemptLost, finish("none", nil))
	lost := 0
	for n := range 1000 {
		if finish(fmt.Sprint(n), &attempt.Answer{Body: body}) == wire.AttemptLost {
			lost++
		}
	}
	require.Positive(t, lost)
	_, stored := table.Len()
	require.LessOrEqual(t, stored, 32<<20)
	// The 1003 records are dropped within a few calls, and few in each call.
	before, _ := table.Len()
	for range before/16 + 1 {
		_, _ = table.Check(claim("later", time.Hour), time.Hour)
		remaining, _ := table.Len()
		require.LessOrEqual(t, before-remaining, 16, "a call holds the guard's mutex for a few records only")
		before = remaining
	}
	_, _ = table.Begin(claim("later", time.Hour), time.Hour)
	records, stored := table.Len()
	require.Equal(t, 1, records, "expired records are dropped")
	require.Zero(t, stored)
}

func TestFullTableRefusesAttempts(t *testing.T) {
	table := attempt.NewTable(1)
	started := 0
	var v attempt.Verdict
	for v == attempt.Start {
		if v, _ = table.Begin(claim(fmt.Sprint(started), 0), 0); v == attempt.Start {
			started++
		}
	}
	require.Equal(t, attempt.Full, v)
	require.Equal(t, wire.AttemptAbsent, table.Seal(claim("other", 0), false, 0), "no room for a sealed record, so no proof")
	known, _ := table.Begin(claim("0", 0), 0)
	require.Equal(t, attempt.Known, known)
}

func TestOnlySealBySameIncarnationIsProof(t *testing.T) {
	for state, want := range map[wire.AttemptState]attempt.Step{
		wire.AttemptSealed: attempt.RetryElsewhere, wire.AttemptRunning: attempt.Collect, wire.AttemptDone: attempt.Collect,
		wire.AttemptLost: attempt.Collect, wire.AttemptWaiting: attempt.Wait, wire.AttemptAbsent: attempt.Unknown,
		wire.AttemptOtherIncarnation: attempt.Unknown,
	} {
		require.Equal(t, want, attempt.NextStep(&wire.Sealed{Incarnation: 1, State: state}, 1), state)
		require.Equal(t, attempt.Unknown, attempt.NextStep(&wire.Sealed{Incarnation: 2, State: state}, 1), state)
	}
}

// A copy is delayed for as long as its tick is valid, while the first copy ran and
// ended long before. The record of the first must still exist.
func TestRecordIsKeptLongerThanWindow(t *testing.T) {
	for id, window := range map[string]time.Duration{"try": attempt.Window, attempt.TicketID("1"): attempt.TicketWindow} {
		table := attempt.NewTable(1)
		_, _ = table.Begin(claim(id, 0), 0)
		table.Finish(id, nil, 0)
		v, _ := table.Begin(claim(id, 0), window)
		require.Equal(t, attempt.Known, v, id)
	}
}
