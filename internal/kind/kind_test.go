package kind_test

import (
	"encoding/json"
	"errors"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetdock/limpetdock/internal/headers"
	"github.com/limpetdock/limpetdock/internal/kind"
)

func TestEveryKindHasAnAnswer(t *testing.T) {
	for _, k := range kind.All() {
		row, ok := kind.AnswerOf(k)
		require.True(t, ok, k)
		require.GreaterOrEqual(t, row.Status, 200, k)
		require.Contains(t, []kind.Outcome{kind.NotRun, kind.Unknown}, row.Outcome, k)
		if kind.New(k, "").MayTryOtherTarget(false) {
			require.Equal(t, kind.NotRun, row.Outcome, "%s may be sent to another target only if it was not run", k)
		}
	}
}

func TestReadReturnsWhatWriteSent(t *testing.T) {
	for _, k := range kind.All() {
		rec := httptest.NewRecorder()
		sent := kind.New(k, "because %d", 7)
		sent.RetryAfter = 1500 * time.Millisecond
		kind.Write(rec, sent)
		got := kind.Read(rec.Result())
		require.NotNil(t, got)
		require.Equal(t, k, got.Kind)
		require.Equal(t, "because 7", got.Message)
		require.Equal(t, sent.ReportedOutcome(), got.ReportedOutcome())
		row, _ := kind.AnswerOf(k)
		if row.Retry {
			require.Equal(t, 2*time.Second, got.RetryAfter, "whole seconds, rounded up")
		}
	}
}

func TestBodyHoldsKindAndMessage(t *testing.T) {
	rec := httptest.NewRecorder()
	kind.Write(rec, kind.New(kind.Overloaded, "full"))
	var body map[string]string
	require.NoError(t, json.Unmarshal(rec.Body.Bytes(), &body))
	require.Equal(t, map[string]string{"kind": "overloaded", "message": "full"}, body)
	require.Equal(t, "not-run", rec.Header().Get(headers.Outcome))
}

// After an unexpected error the request may have run, so the answer must not
// report that it didn't.
func TestUnexpectedErrorHasUnknownOutcome(t *testing.T) {
	e := kind.From(errors.New("anything"))
	require.Equal(t, kind.Unknown, e.ReportedOutcome())
}

// An attempt ran at a target, whose VM is then replaced by one of another fleet
// with the same address. The entry asks there for the answer and is refused with
// the outcome not-run. If that counted as an answer of the target's guard, the
// caller would receive not-run for a booking that did run.
func TestWrongFleetRefusalIsNotFromGuard(t *testing.T) {
	for _, k := range kind.All() {
		rec := httptest.NewRecorder()
		kind.Write(rec, kind.New(k, ""))
		require.Equal(t, k != kind.WrongFleet, kind.Read(rec.Result()).FromGuard, k)
	}
}
