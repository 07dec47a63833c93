package entry

import (
	"fmt"
	"strings"
	"time"

	"github.com/limpetdock/limpetdock/internal/kind"
	"github.com/limpetdock/limpetdock/internal/mesh"
)

// describe gives what decided a request, for the log.
func (t *trip) describe(a *mesh.Answer, err *kind.Error, took time.Duration) []any {
	pairs := []any{"id", t.in.ID, "method", t.in.Method, "host", t.in.Host, "path", kind.Clip(t.in.Path), "took_ms", took.Milliseconds()}
	if t.view != nil {
		pairs = append(pairs, "config", t.view.Config.Version, "revision", t.view.Revision)
	}
	if t.route != nil {
		pairs = append(pairs, "route", t.route.Name, "service", t.service, "budget_ms", (t.deadline - t.in.Arrived).Milliseconds())
	}
	if len(t.offers) > 0 {
		pairs = append(pairs, "offers", t.offered())
	}
	if err != nil {
		return append(pairs, "outcome", err.Said(), "kind", err.Kind, "message", err.Message, "retry_after_ms", err.RetryAfter.Milliseconds())
	}
	return append(pairs, "outcome", "answered", "status", a.Status, "bytes", len(a.Body))
}

// offered lists the targets that the request was offered to, with what each said, after how
// long, and after how long an answer was expected.
func (t *trip) offered() string {
	parts := make([]string, len(t.offers))
	for i, o := range t.offers {
		said := string(o.kind)
		if said == "" {
			said = "answered"
		}
		parts[i] = fmt.Sprintf("%s %s %dms of %d", o.target.ID, said, o.took.Milliseconds(), o.expected.Milliseconds())
	}
	return strings.Join(parts, "; ")
}
