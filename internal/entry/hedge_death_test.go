package entry

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/limpetdock/limpetdock/fleet"
	"github.com/limpetdock/limpetdock/internal/config"
	"github.com/limpetdock/limpetdock/internal/kind"
	"github.com/limpetdock/limpetdock/internal/pick"
	"github.com/limpetdock/limpetdock/internal/suspect"
)

// A backend server died with a request, and its next try takes long. The news has not
// come back by gossip yet; a copy would put a second server at risk all the same.
func TestNoCopyAfterADeath(t *testing.T) {
	e := &Entry{}
	x := &request{service: &pick.Service{
		Service: &config.Service{Service: fleet.Service{HedgePercent: 5}}, Targets: make([]*pick.Target, 2),
	}}
	require.True(t, x.mayHedge())
	s := search{entry: e, x: x}
	s.note(died())
	require.False(t, x.mayHedge())
}

// The news does come by gossip, while the first copy runs and the second one waits.
func TestNoCopyOfWhatGossipSuspects(t *testing.T) {
	r := httptest.NewRequest(http.MethodGet, "/x", nil)
	x := &request{in: r, service: &pick.Service{Service: &config.Service{Service: fleet.Service{Name: "s"}}}}
	e := &Entry{}
	e.view.Store(&pick.View{Suspects: suspect.Set{suspect.Fingerprint("s", r, nil): {Level: suspect.Suspected}}})
	h := &hedge{entry: e, x: x, ctx: t.Context()}
	require.Nil(t, h.start())
	require.Equal(t, armed, h.phase)
}

func died() *kind.Error {
	err := kind.New(kind.BackendDied, "died")
	err.Death = 7
	return err
}
