package guard_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetdock/limpetdock/internal/mesh"
	"github.com/limpetdock/limpetdock/internal/mesh/model"
	"github.com/limpetdock/limpetdock/internal/virtualtime"
)

// Guards against a cold server, which takes twice as long, that starts requests which can no longer be in
// time, so that nearly all of its answers are late.
func TestColdServerStartsWhatCanBeInTime(t *testing.T) {
	cold := model.Backend{Slots: 9, Queue: 18, WarmUp: time.Minute, WarmUpFactor: 2, Spread: 0.2}
	run := func(scheduling bool) (result outcomes) {
		virtualtime.Test(t, func(t *testing.T) {
			s := newModelServer(cold, 1)
			g := newGuardOf(t, s, mesh.Service{})
			v := viewOf(s, mesh.Service{})
			v.OverloadScheduling = scheduling
			g.SetView(v)
			// 1.5 times as many requests as the slots can run.
			interval := time.Duration(float64(routes[0].baseService+routes[1].baseService) / float64(cold.Slots) / 1.5)
			result = sendLoad(t, g, interval, 2*time.Second, 20*time.Second)
		})
		return result
	}
	before, after := run(false), run(true)
	t.Logf("by base service time %+v, by expected time in the slot %+v", before, after)
	require.Greater(t, after.inTime, 2*before.inTime)
	require.Less(t, after.late, before.late/4)
}
