package entry_test

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/limpetdock/limpetdock/internal/kind"
	"github.com/limpetdock/limpetdock/internal/mesh"
)

// attemptEnd is how an attempt ends, and whether the request may have run then.
type attemptEnd struct {
	run        func(*mesh.Request) (*mesh.Answer, *kind.Error)
	mayHaveRun bool
}

var attemptEnds = map[string]attemptEnd{
	"rejected":                  {failing(kind.Overloaded), false},
	"other server":              {failing(kind.StaleAttempt), false},
	"unreachable":               {failing(kind.Unreachable), false},
	"too late":                  {failing(kind.DeadlineNotRun), false},
	"broken":                    {failing(kind.BackendBroken), true},
	"unknown":                   {failing(kind.OutcomeUnknown), true},
	"timed out":                 {failing(kind.DeadlineUnknown), true},
	"answered 503 without mark": {answered(http.StatusServiceUnavailable), true},
	"answered 429 without mark": {answered(http.StatusTooManyRequests), true},
	"answered 500":              {answered(http.StatusInternalServerError), true},
}

func promises(status int) bool {
	return status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests
}

// Guards against a refusal that hides an earlier attempt which may have run the request, in whatever order they
// come, and against a status of a backend server that promises too much.
func TestPromiseNeedsProofOfEveryAttempt(t *testing.T) {
	for first, a := range attemptEnds {
		for second, b := range attemptEnds {
			for third, c := range attemptEnds {
				for _, idempotent := range []bool{false, true} {
					ends := []attemptEnd{a, b, c}
					d := newDeployment(t, idempotent)
					d.route.MaxTargets = len(ends)
					d.entry.Promises = promises
					attempts, mayHaveRun := 0, false
					for _, target := range []string{own, "zone", "region", "far"} {
						d.answers[target] = func(r *mesh.Request) (*mesh.Answer, *kind.Error) {
							end := ends[min(attempts, len(ends)-1)]
							attempts++
							mayHaveRun = mayHaveRun || end.mayHaveRun
							return end.run(r)
						}
					}
					answer, err := d.serve()
					description := []any{"%s, %s, %s, idempotent %t", first, second, third, idempotent}
					if err != nil {
						require.Equal(t, mayHaveRun, err.ReportedOutcome() != kind.NotRun, description...)
						continue
					}
					require.False(t, !idempotent && promises(answer.Status), description...)
				}
			}
		}
	}
}

// Guards against a backend server that answers at once with a status of rejections and draws requests by that.
func TestUnprovenRejectionCountsAsFailure(t *testing.T) {
	d := newDeployment(t, true)
	d.entry.Promises = promises
	d.answers[own] = answered(http.StatusTooManyRequests)
	answer, err := d.serve()
	require.Nil(t, err)
	require.Equal(t, http.StatusTooManyRequests, answer.Status)
	require.Positive(t, d.targets[0].Forecast(0, d.now).FailureRate)
}
