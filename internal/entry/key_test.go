package entry_test

import (
	"encoding/json"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetdock/limpetdock/internal/attempt"
	"github.com/limpetdock/limpetdock/internal/headers"
)

// takeTicket asks an entry for a ticket.
func (w *world) takeTicket(entry int) string {
	got := w.ask(entry, "POST", "/", "", headers.Ticket, "request")
	require.Equal(w.t, http.StatusOK, got.status, got.body)
	var body struct {
		Ticket    string `json:"ticket"`
		ExpiresMs int64  `json:"expires_in_ms"`
	}
	require.NoError(w.t, json.Unmarshal([]byte(got.body), &body))
	require.Equal(w.t, got.ticket, body.Ticket)
	require.Positive(w.t, body.ExpiresMs)
	return body.Ticket
}

// A driver's phone sends a payout, hears nothing, and sends it again through
// another node while the first copy still runs. Both copies must reach the one
// process, run once, and bring the same answer; so must a copy that comes later.
func TestCopiesThroughTwoNodesRunOnce(t *testing.T) {
	for _, kind := range []string{"ticket", "own key"} {
		t.Run(kind, func(t *testing.T) {
			l := newLedger(t)
			w := newWorld(t, l.URL, l.URL, l.URL)
			key := "payout-7"
			if kind == "ticket" {
				key = w.takeTicket(0)
			}
			answers := make([]answer, 6)
			var wg sync.WaitGroup
			for i := range answers {
				wg.Go(func() { answers[i] = w.ask(i%2, "POST", "/pay", "x", headers.IdempotencyKey, key) })
			}
			<-l.started
			l.finish <- struct{}{}
			wg.Wait()
			answers = append(answers, w.ask(1, "POST", "/pay", "x", headers.IdempotencyKey, key))
			for _, got := range answers {
				require.Equal(t, "run 1", got.body, got.kind)
			}
			require.EqualValues(t, 1, l.runs.Load())
			other := w.ask(1, "POST", "/pay", "y", headers.IdempotencyKey, key)
			require.Equal(t, http.StatusUnprocessableEntity, other.status, "another request under the same key")
			require.Equal(t, "key-conflict", other.kind)
		})
	}
}

func TestWhenAKeyOrTicketCantBeHonoured(t *testing.T) {
	const key = "confirm-9"
	cases := []struct {
		name    string
		before  func(w *world) string
		kind    string
		outcome string
		retry   bool
	}{
		{"the key's home has just been replaced", func(w *world) string {
			w.nodes[0].start(2, time.Minute)
			return key
		}, "key-unknown", "unknown", true},
		{"the key's home is down: nobody else may run it", func(w *world) string {
			w.nodes[0].kill()
			return key
		}, "unreachable", "unknown", true},
		{"the key's home is leaving: it seals the key first", func(w *world) string {
			w.nodes[0].guard.Load().SetLeaving(true)
			return key
		}, "leaving", "not-run", true},
		{"a key that was sealed never runs", func(w *world) string {
			w.nodes[0].guard.Load().SetLeaving(true)
			w.ask(0, "POST", "/pay", "x", headers.IdempotencyKey, key)
			w.nodes[0].guard.Load().SetLeaving(false)
			return key
		}, "sealed", "not-run", true},
		{"the process that the ticket names is gone", func(w *world) string {
			ticket := w.takeTicket(0)
			w.nodes[0].start(2, old)
			return ticket
		}, "key-unknown", "unknown", true},
		{"the process that the ticket names can't be reached", func(w *world) string {
			ticket := w.takeTicket(0)
			w.nodes[0].kill()
			return ticket
		}, "unreachable", "unknown", true},
		{"a clipped ticket", func(w *world) string {
			ticket := w.takeTicket(0)
			return ticket[:len(ticket)-3]
		}, "bad-request", "not-run", false},
		{"a ticket that never was", func(*world) string { return "ldt1.AAAA" }, "bad-request", "not-run", false},
		{"a key too long", func(*world) string { return strings.Repeat("k", 201) }, "bad-request", "not-run", false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			l := newLedger(t)
			w := newWorld(t, l.URL)
			got := w.ask(1, "POST", "/pay", "x", headers.IdempotencyKey, c.before(w), headers.TimeoutMs, "600000")
			require.Equal(t, c.kind, got.kind, got.body)
			require.Equal(t, c.outcome, got.outcome)
			require.Equal(t, c.retry, got.retryFor != "")
			require.Zero(t, l.runs.Load())
		})
	}
}

// The payout's connection goes silent before the request has passed. Under a key
// or ticket another copy can do no harm, so it is sent again over a new
// connection; sealing it would only use the key up.
func TestALostCopyIsSentAgainUnderItsKey(t *testing.T) {
	for _, kind := range []string{"ticket", "own key"} {
		t.Run(kind, func(t *testing.T) {
			l := newLedger(t)
			w := newWorld(t, l.URL)
			l.finish <- struct{}{}
			require.Equal(t, "run 1", w.ask(0, "POST", "/pay", "x").body)
			key := "payout-8"
			if kind == "ticket" {
				key = w.takeTicket(0)
			}
			w.nodes[0].pipe.silence()
			l.finish <- struct{}{}
			require.Equal(t, "run 2", w.ask(0, "POST", "/pay", "x", headers.IdempotencyKey, key).body)
			require.EqualValues(t, 2, l.runs.Load())
		})
	}
}

// A home was replaced a minute ago. The answer says when keys are taken again,
// so that a caller neither gives up nor knocks all the time.
func TestAYoungHomeSaysWhenItTakesKeys(t *testing.T) {
	l := newLedger(t)
	w := newWorld(t, l.URL)
	w.nodes[0].start(2, time.Minute)
	got := w.ask(0, "POST", "/pay", "x", headers.IdempotencyKey, "k")
	wait, err := time.ParseDuration(got.retryFor + "s")
	require.NoError(t, err)
	require.Greater(t, wait, 19*time.Minute)
	require.LessOrEqual(t, wait, 2*(10*time.Minute+3*attempt.KeyDelay))
}

// One copy of a payout runs while another is refused before it was offered to
// anyone: its upload breaks off, or its deadline can't be read. "Not run" would
// be a lie about the payout, and the driver's phone would send a new one.
func TestARefusedCopySpeaksOfAllCopies(t *testing.T) {
	l := newLedger(t)
	w := newWorld(t, l.URL)
	l.finish <- struct{}{}
	require.Equal(t, "run 1", w.ask(0, "POST", "/pay", "x", headers.IdempotencyKey, "k").body)
	for _, timeout := range []string{"soon", "0"} {
		got := w.ask(1, "POST", "/pay", "x", headers.IdempotencyKey, "k", headers.TimeoutMs, timeout)
		require.Equal(t, "unknown", got.outcome, got.kind)
		plain := w.ask(1, "POST", "/pay", "x", headers.TimeoutMs, timeout)
		require.Equal(t, "not-run", plain.outcome, plain.kind)
	}
}

// Requests for tickets that are none: the caller learns how to ask.
func TestATicketIsAskedForByPost(t *testing.T) {
	w := newWorld(t, newLedger(t).URL)
	require.Equal(t, http.StatusBadRequest, w.ask(0, "GET", "/", "", headers.Ticket, "request").status)
	require.Equal(t, http.StatusBadRequest, w.ask(0, "POST", "/", "", headers.Ticket, "please").status)
	w.nodes[0].kill()
	require.Equal(t, "no-target", w.ask(0, "POST", "/", "", headers.Ticket, "request").kind)
}
