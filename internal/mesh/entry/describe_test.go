package entry_test

import (
	"bytes"
	"context"
	"encoding/json"
	"log/slog"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetdock/limpetdock/internal/decision"
	"github.com/limpetdock/limpetdock/internal/kind"
	"github.com/limpetdock/limpetdock/internal/mesh"
	"github.com/limpetdock/limpetdock/internal/stopping"
)

// logBuffer collects the lines of a log. Safe for concurrent use.
type logBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

// line returns the only line once it has been written.
func (l *logBuffer) line(t *testing.T) map[string]any {
	var line map[string]any
	require.Eventually(t, func() bool {
		l.mu.Lock()
		defer l.mu.Unlock()
		return json.Unmarshal(l.b.Bytes(), &line) == nil
	}, time.Minute, time.Millisecond)
	return line
}

// Guards against a log line of a canceled request that doesn't say who ended it, or whether
// its last target may have run it.
func TestLogOfCanceledRequestHasCauseAndOutcomeOfAttempt(t *testing.T) {
	messages := map[error]string{
		mesh.ErrCallerLeft: "the caller left",
		stopping.Err:       "the node stops before the request can complete",
	}
	for cause, message := range messages {
		t.Run(message, func(t *testing.T) {
			var out logBuffer
			d := newDeployment(t, false)
			d.entry.Log = decision.New(t.Context(), &out, slog.LevelInfo)
			ctx, cancel := context.WithCancelCause(t.Context())
			d.answers[own] = func(*mesh.Request) (*mesh.Answer, *kind.Error) {
				cancel(cause)
				e := mesh.CancelledError(ctx)
				e.Outcome = kind.NotRun
				return nil, e
			}
			_, err := d.entry.Serve(ctx, d.request(0))
			require.NotNil(t, err)
			line := out.line(t)
			require.Equal(t, message, line["message"])
			require.Contains(t, line["offers"], "i-own outcome-unknown (not-run: unsent) ")
		})
	}
}

// Guards against a refused request of which nobody can tell who said that it has not run, and why.
func TestLogOfRefusedRequestNamesProofOfEachAttempt(t *testing.T) {
	var out logBuffer
	d := newDeployment(t, false)
	d.entry.Log = decision.New(t.Context(), &out, slog.LevelInfo)
	for _, target := range []string{own, "zone", "region", "far"} {
		d.answers[target] = func(*mesh.Request) (*mesh.Answer, *kind.Error) {
			e := kind.New(kind.StaleAttempt, "test").WithProof(kind.OtherServer)
			e.Evidence = "status 421 on connection 10.0.0.1:4000"
			return nil, e
		}
	}
	_, err := d.serve()
	require.Equal(t, kind.NotRun, err.ReportedOutcome())
	line := out.line(t)
	require.EqualValues(t, kind.Unsent, line["proof"], "no target is left")
	require.Contains(t, line["offers"], "i-own stale-attempt (not-run: other-server, status 421 on connection 10.0.0.1:4000) ")
	require.EqualValues(t, 1, d.entry.NotRun(kind.Unsent))
	require.Zero(t, d.entry.NotRun(kind.OtherServer))
}
