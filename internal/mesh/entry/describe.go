package entry

import (
	"fmt"
	"math"
	"strings"
	"time"

	"github.com/limpetdock/limpetdock/internal/kind"
	"github.com/limpetdock/limpetdock/internal/mesh"
	"github.com/limpetdock/limpetdock/internal/suspect"
)

// describe returns the log fields that explain how a request was handled.
func (t *transaction) describe(a *mesh.Answer, err *kind.Error, took time.Duration) []any {
	pairs := []any{"id", t.in.ID, "method", t.in.Method, "host", t.in.Host, "path", kind.Clip(t.in.Path), "took_ms", took.Milliseconds()}
	if t.view != nil {
		pairs = append(pairs, "config", t.view.Config.Version, "revision", t.view.Revision)
	}
	if t.route != nil {
		pairs = append(pairs, "route", t.route.Name, "service", t.service, "budget_ms", (t.deadline - t.in.Arrived).Milliseconds())
	}
	if t.origin != nil && !t.origin.Caller() {
		pairs = append(pairs, "may_be_call", true)
	}
	if t.nested {
		pairs = append(pairs, "nested", true)
	}
	if t.admission.share < 1 && t.admission.called != "" {
		pairs = append(pairs, "calls_to", t.admission.called, "admitted_share", math.Round(t.admission.share*1000)/1000)
	}
	if t.retryDeniedBy != "" {
		pairs = append(pairs, "retry_denied_by", t.retryDeniedBy)
	}
	if t.level != suspect.Unsuspected {
		pairs = append(pairs, "suspicion", t.level.String())
	}
	if len(t.ineligible) > 0 {
		pairs = append(pairs, "ineligible", t.describeIneligible())
	}
	if len(t.attempts) > 0 {
		pairs = append(pairs, "offers", t.describeAttempts())
	}
	if err != nil {
		if proof := err.ProofOfNotRun(); proof != "" {
			pairs = append(pairs, "proof", proof)
		}
		return append(pairs, "outcome", err.ReportedOutcome(), "kind", err.Kind, "message", err.Message, "retry_after_ms", err.RetryAfter.Milliseconds())
	}
	return append(pairs, "outcome", "answered", "status", a.Status, "bytes", len(a.Body))
}

// describeAttempts lists the targets that got the request, each with the outcome, the time
// taken and the time expected.
func (t *transaction) describeAttempts() string {
	parts := make([]string, len(t.attempts))
	for i, a := range t.attempts {
		outcome := "answered"
		if a.kind != "" {
			outcome = fmt.Sprintf("%s (%s)", a.kind, a.describeOutcome())
		}
		parts[i] = fmt.Sprintf("%s %s %dms of %d", a.target.ID, outcome, a.took.Milliseconds(), a.expected.Milliseconds())
	}
	return strings.Join(parts, "; ")
}

// describeOutcome returns the outcome of an attempt that failed. If the request didn't run, it says by which proof.
func (a *attempt) describeOutcome() string {
	if a.proof == "" {
		return string(a.outcome)
	}
	text := string(a.outcome) + ": " + string(a.proof)
	if a.evidence != "" {
		text += ", " + a.evidence
	}
	return text
}
