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

// requestTicket requests a ticket from an entry.
func (w *testCluster) requestTicket(entry int) string {
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

// A caller sends a request, receives no answer, and sends it again through another node while
// the first copy still runs. All copies must reach the same process, run once, and receive the
// same answer, also a copy that comes later.
func TestCopiesThroughTwoNodesRunOnce(t *testing.T) {
	for _, kind := range []string{"ticket", "own key"} {
		t.Run(kind, func(t *testing.T) {
			l := newCountingBackend(t)
			w := newTestCluster(t, l.URL, l.URL, l.URL)
			key := "payout-7"
			if kind == "ticket" {
				key = w.requestTicket(0)
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

func TestUnusableKeyOrTicketIsRefused(t *testing.T) {
	const key = "confirm-9"
	cases := []struct {
		name    string
		before  func(w *testCluster) string
		kind    string
		outcome string
		retry   bool
	}{
		{"the key's home has just been replaced", func(w *testCluster) string {
			w.nodes[0].start(2, time.Minute)
			return key
		}, "key-unknown", "unknown", true},
		{"the key's home is down: no other server may run it", func(w *testCluster) string {
			w.nodes[0].kill()
			return key
		}, "unreachable", "unknown", true},
		{"the key's home is leaving: it seals the key first", func(w *testCluster) string {
			w.nodes[0].guard.Load().SetLeaving(true)
			return key
		}, "leaving", "not-run", true},
		{"a key that was sealed never runs", func(w *testCluster) string {
			w.nodes[0].guard.Load().SetLeaving(true)
			w.ask(0, "POST", "/pay", "x", headers.IdempotencyKey, key)
			w.nodes[0].guard.Load().SetLeaving(false)
			return key
		}, "sealed", "not-run", true},
		{"the process that the ticket names has ended", func(w *testCluster) string {
			ticket := w.requestTicket(0)
			w.nodes[0].start(2, guardAge)
			return ticket
		}, "key-unknown", "unknown", true},
		{"the process that the ticket names can't be reached", func(w *testCluster) string {
			ticket := w.requestTicket(0)
			w.nodes[0].kill()
			return ticket
		}, "unreachable", "unknown", true},
		{"a truncated ticket", func(w *testCluster) string {
			ticket := w.requestTicket(0)
			return ticket[:len(ticket)-3]
		}, "bad-request", "not-run", false},
		{"an invalid ticket", func(*testCluster) string { return "ldt1.AAAA" }, "bad-request", "not-run", false},
		{"a key too long", func(*testCluster) string { return strings.Repeat("k", 201) }, "bad-request", "not-run", false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			l := newCountingBackend(t)
			w := newTestCluster(t, l.URL)
			got := w.ask(1, "POST", "/pay", "x", headers.IdempotencyKey, c.before(w), headers.TimeoutMs, "600000")
			require.Equal(t, c.kind, got.kind, got.body)
			require.Equal(t, c.outcome, got.outcome)
			require.Equal(t, c.retry, got.retryAfter != "")
			require.Zero(t, l.runs.Load())
		})
	}
}

// The connection stalls before the request has been forwarded. Under a key or ticket another
// copy does no harm, so it must be sent again over a new connection; sealing it would make the
// key unusable.
func TestLostCopyIsSentAgainUnderSameKey(t *testing.T) {
	for _, kind := range []string{"ticket", "own key"} {
		t.Run(kind, func(t *testing.T) {
			l := newCountingBackend(t)
			w := newTestCluster(t, l.URL)
			l.finish <- struct{}{}
			require.Equal(t, "run 1", w.ask(0, "POST", "/pay", "x").body)
			key := "payout-8"
			if kind == "ticket" {
				key = w.requestTicket(0)
			}
			w.nodes[0].proxy.stall()
			l.finish <- struct{}{}
			require.Equal(t, "run 2", w.ask(0, "POST", "/pay", "x", headers.IdempotencyKey, key).body)
			require.EqualValues(t, 2, l.runs.Load())
		})
	}
}

// A home was replaced a minute ago. The answer must report when keys are accepted again, so
// that a caller neither stops too early nor retries continuously.
func TestRestartedHomeReportsWhenItAcceptsKeys(t *testing.T) {
	l := newCountingBackend(t)
	w := newTestCluster(t, l.URL)
	w.nodes[0].start(2, time.Minute)
	got := w.ask(0, "POST", "/pay", "x", headers.IdempotencyKey, "k")
	wait, err := time.ParseDuration(got.retryAfter + "s")
	require.NoError(t, err)
	require.Greater(t, wait, 19*time.Minute)
	require.LessOrEqual(t, wait, 2*(10*time.Minute+3*attempt.MaxKeyDelay))
}

// One copy of a request has run while another is refused before it was sent to any target,
// because its deadline can't be parsed or has passed. The outcome "not run" would be wrong,
// and the caller would send a new request.
func TestRefusedCopyUnderKeyReportsUnknownOutcome(t *testing.T) {
	l := newCountingBackend(t)
	w := newTestCluster(t, l.URL)
	l.finish <- struct{}{}
	require.Equal(t, "run 1", w.ask(0, "POST", "/pay", "x", headers.IdempotencyKey, "k").body)
	for _, timeout := range []string{"soon", "0"} {
		got := w.ask(1, "POST", "/pay", "x", headers.IdempotencyKey, "k", headers.TimeoutMs, timeout)
		require.Equal(t, "unknown", got.outcome, got.kind)
		plain := w.ask(1, "POST", "/pay", "x", headers.TimeoutMs, timeout)
		require.Equal(t, "not-run", plain.outcome, plain.kind)
	}
}

// Invalid requests for a ticket must be refused as bad requests.
func TestTicketIsRequestedByPost(t *testing.T) {
	w := newTestCluster(t, newCountingBackend(t).URL)
	require.Equal(t, http.StatusBadRequest, w.ask(0, "GET", "/", "", headers.Ticket, "request").status)
	require.Equal(t, http.StatusBadRequest, w.ask(0, "POST", "/", "", headers.Ticket, "please").status)
	w.nodes[0].kill()
	require.Equal(t, "no-target", w.ask(0, "POST", "/", "", headers.Ticket, "request").kind)
}
