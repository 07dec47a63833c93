package guard

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"net/url"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetdock/limpetdock/internal/attempt"
	"github.com/limpetdock/limpetdock/internal/death"
	"github.com/limpetdock/limpetdock/internal/gate"
	"github.com/limpetdock/limpetdock/internal/headers"
	"github.com/limpetdock/limpetdock/internal/wire"
)

// A guard records a payout and is frozen before the first byte is sent. It resumes
// after the deadline, when the caller has already got "unknown" and the payout was
// made by hand. The write itself must check the deadline.
func TestNoFirstByteAfterDeadline(t *testing.T) {
	now := time.Now()
	cases := []struct {
		name     string
		deadline time.Time
		revoked  bool
		want     error
	}{
		{"in time", now.Add(time.Hour), false, nil},
		{"late", now.Add(-time.Millisecond), false, errRevoked},
		{"revoked before the write", now.Add(time.Hour), true, errRevoked},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			near, far := net.Pipe()
			defer func() { _ = near.Close() }()
			go func() { _, _ = far.Read(make([]byte, 8)) }()
			p := &permit{deadline: c.deadline}
			if c.revoked {
				require.True(t, p.revoke())
			}
			conn := newBackendConn(near, death.NewDetector("").Opening().Opened())
			conn.setPermit(p)
			_, err := conn.Write([]byte("x"))
			require.Equal(t, c.want, err)
			require.Equal(t, c.want != nil, p.revoke(), "only a byte that was sent leaves the outcome unknown")
		})
	}
}

// While a VM is suspended its monotonic clock stops: only the wall clock shows that
// the deadline has passed.
func TestDeadlinePassesByEitherClock(t *testing.T) {
	now := time.Now()
	require.False(t, passed(now.Add(time.Second), now))
	require.True(t, passed(now.Add(-time.Second), now))
	jumped := now.Add(time.Second).Round(0)
	require.True(t, passed(jumped, now.Round(0).Add(time.Hour)))
}

func newGuardForURL(t *testing.T, backend string) *Guard {
	base, err := url.Parse(backend)
	require.NoError(t, err)
	start := time.Now()
	g := New(base, 1, func() time.Duration { return time.Since(start) })
	g.gate.SetLimits(gate.Limits{Slots: 1})
	return g
}

func (g *Guard) runAttempt(t *testing.T, id string) (*http.Response, string) {
	r := httptest.NewRequestWithContext(t.Context(), http.MethodPost, "/pay", http.NoBody)
	r.Header.Set(headers.Attempt, id)
	r.Header.Set(headers.Incarnation, "1")
	r.Header.Set(headers.Tick, "0")
	r.Header.Set(headers.TimeoutMs, "60000")
	c := claimOf(r, id)
	v, _ := g.begin(c)
	require.Equal(t, attempt.Start, v)
	resp, e := g.detach(r, c, time.Now().Add(time.Minute), execution{leave: func() {}})
	if e != nil {
		return nil, string(e.Kind) + " " + string(e.ReportedOutcome())
	}
	return resp, ""
}

// The backend server isn't reachable. Nothing was sent, so the attempt is sealed, and
// a later query must return the same outcome that the caller got.
func TestUnsentAttemptIsSealed(t *testing.T) {
	closed := httptest.NewServer(nil)
	closed.Close()
	g := newGuardForURL(t, closed.URL)
	_, said := g.runAttempt(t, "a")
	require.Equal(t, "unreachable not-run", said)
	reply := g.Seal(&wire.Seal{Attempt: "a", Incarnation: 1, AskOnly: true})
	require.Equal(t, wire.AttemptSealed, reply.State)
}

// The entry's connection is closed while a booking runs. The run continues, and its
// answer can be collected by its id, from this incarnation only.
func TestRunContinuesAfterEntryDisconnects(t *testing.T) {
	release := make(chan struct{})
	var runs atomic.Int32
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		runs.Add(1)
		<-release
		_, _ = w.Write([]byte("booked"))
	}))
	defer backend.Close()
	g := newGuardForURL(t, backend.URL)
	ctx, cancel := context.WithCancel(t.Context())
	r := httptest.NewRequestWithContext(ctx, http.MethodPost, "/book", http.NoBody)
	c := attempt.Claim{ID: "b", Incarnation: 1}
	v, _ := g.begin(c)
	require.Equal(t, attempt.Start, v)
	cancel()
	_, e := g.detach(r, c, time.Now().Add(time.Minute), execution{leave: func() {}})
	require.NotNil(t, e)
	close(release)
	for _, incarnation := range []string{"1", "2"} {
		ask := httptest.NewRequestWithContext(t.Context(), http.MethodGet, "/", http.NoBody)
		ask.Header.Set(headers.Incarnation, incarnation)
		ask.Header.Set(headers.TimeoutMs, "60000")
		resp, e := g.collect(ask, "b")
		if incarnation == "2" {
			require.Equal(t, "outcome-unknown", string(e.Kind))
			continue
		}
		require.Nil(t, e)
		require.EqualValues(t, 6, resp.ContentLength)
	}
	require.EqualValues(t, 1, runs.Load())
}
