package entry_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/limpetdock/limpetdock/fleet"
	"github.com/limpetdock/limpetdock/internal/kind"
)

// Guards against a request that is refused, though targets would run it under their newer
// configuration, because the last target that refused it is leaving.
func TestLeavingTargetDoesNotHideStaleConfiguration(t *testing.T) {
	const targets = 4
	attempts := 0
	h := newHedgeFixture(t, func(s *fleet.Service) { s.HedgePercent = 0 }, func(o hedgeAttempt) {
		attempts++
		switch {
		case attempts < targets:
			kind.Write(o, kind.New(kind.StaleConfig, "newer"))
		case attempts == targets:
			next, conf := *o.view, *o.view.Config
			next.Config = &conf
			o.entry.SetView(&next)
			kind.Write(o, kind.New(kind.Leaving, "leaving"))
		default:
			answersWith("done")(o)
		}
	})
	require.Equal(t, "done", h.ask("GET", "").Body.String())
}
