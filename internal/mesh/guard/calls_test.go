package guard_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetdock/limpetdock/internal/mesh"
	"github.com/limpetdock/limpetdock/internal/mesh/lineage"
)

// Guards against entries that can't tell a run that failed because of its calls from others and repeat it.
func TestAnswerTellsThatCallsFailed(t *testing.T) {
	for _, c := range []struct {
		status             int
		callFails, reports bool
	}{
		{http.StatusInternalServerError, true, true},
		{http.StatusInternalServerError, false, false},
		{http.StatusOK, true, false},
	} {
		var runs *lineage.Tracker
		x := newFixture(t, 4, func(w http.ResponseWriter, r *http.Request) {
			call := runs.Arrived(time.Second)
			if c.callFails {
				call.FailCall()
			}
			signed(w, r)
			w.WriteHeader(c.status)
		})
		runs = x.Lineage
		answer, err := x.Run(t.Context(), request())
		require.Nil(t, err)
		require.Equal(t, c.reports, answer.CallsFailed)
	}
}

// Guards against answers that differ from those of before the feature once it is switched off again.
func TestAnswerNamesCalleeOnlyWhileSchedulingIsInForce(t *testing.T) {
	var runs *lineage.Tracker
	x := newFixture(t, 4, func(w http.ResponseWriter, r *http.Request) {
		runs.Arrived(time.Second).NoteCall("stock")
		signed(w, r)
	})
	runs = x.Lineage
	config := mesh.NewConfig(1, map[string]*mesh.Service{"orders": {Name: "orders", HealthPath: "/health"}}, []*mesh.Route{
		{Name: "reads", Host: "h", Prefix: "/", Shares: []mesh.Share{{Service: "orders", Weight: 1}}},
	}, mesh.Limits{})
	for _, scheduling := range []bool{true, false} {
		x.SetView(&mesh.View{Config: config, LocalTarget: x.view.LocalTarget, OverloadScheduling: scheduling})
		answer, err := x.Run(t.Context(), request())
		require.Nil(t, err)
		require.Equal(t, map[bool]string{true: "stock"}[scheduling], answer.Callee)
	}
}
