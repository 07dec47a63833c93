package entry

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/limpetdock/limpetdock/internal/kind"
	"github.com/limpetdock/limpetdock/internal/mesh"
	"github.com/limpetdock/limpetdock/internal/mesh/eligibility"
)

// eligible returns the targets of the service that may get the request, and counts the others by
// reason. It uses the newest View: a zone may be evacuated and a region disallowed while the
// request waits.
func (t *transaction) eligible() []*mesh.Target {
	t.view = t.entry.view.Load()
	present := t.view.Config.Match(t.in.Host, t.in.Path)
	t.ineligible = nil
	all := t.view.Targets[t.service]
	list := make([]*mesh.Target, 0, len(all))
	for _, target := range all {
		reason := eligibility.Check(t.view, target, t.route, present)
		if reason == eligibility.Eligible {
			list = append(list, target)
			continue
		}
		if t.ineligible == nil {
			t.ineligible = map[eligibility.Reason]int{}
		}
		t.ineligible[reason]++
	}
	for reason := range t.ineligible {
		t.entry.Observer.Ineligible(reason)
	}
	return list
}

// ineligibleRetryAfter is when a caller should retry whose request no target is allowed to run:
// about when a change of the configuration or the end of an evacuation is in force.
const ineligibleRetryAfter = time.Second

// noTargetError returns the refusal of a request that no target can take.
func (t *transaction) noTargetError() *kind.Error {
	if len(t.ineligible) == 0 {
		return kind.New(kind.NoTarget, "no target can take the request")
	}
	e := kind.New(kind.NoTarget, "no target can take the request: %s", t.describeIneligible())
	if len(t.attempts) == 0 {
		e.RetryAfter = randomize(ineligibleRetryAfter)
	}
	return e
}

// describeIneligible lists how many targets were left out for each reason.
func (t *transaction) describeIneligible() string {
	parts := make([]string, 0, len(t.ineligible))
	for reason, n := range t.ineligible {
		parts = append(parts, fmt.Sprintf("%d %s", n, reason))
	}
	slices.Sort(parts)
	return strings.Join(parts, ", ")
}
