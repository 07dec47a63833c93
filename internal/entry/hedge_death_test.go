package entry

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetdock/limpetdock/fleet"
	"github.com/limpetdock/limpetdock/internal/config"
	"github.com/limpetdock/limpetdock/internal/kind"
	"github.com/limpetdock/limpetdock/internal/pick"
	"github.com/limpetdock/limpetdock/internal/suspect"
)

// A backend server died while it ran a request, and the retry takes long. The suspicion has
// not arrived by gossip yet, but a second copy would already endanger another server.
func TestNoHedgeAfterBackendDeath(t *testing.T) {
	e := &Entry{}
	x := &request{service: &pick.Service{
		Service: &config.Service{Service: fleet.Service{HedgePercent: 5}}, Targets: make([]*pick.Target, 2),
	}}
	require.True(t, x.mayHedge())
	s := attemptState{entry: e, x: x}
	s.recordError(deathError())
	require.False(t, x.mayHedge())
}

// The suspicion arrives by gossip while the first copy runs and the second one waits for its
// timer.
func TestNoHedgeOfRequestSuspectedMeanwhile(t *testing.T) {
	r := httptest.NewRequest(http.MethodGet, "/x", nil)
	x := &request{in: r, service: &pick.Service{Service: &config.Service{Service: fleet.Service{Name: "s"}}}}
	e := &Entry{}
	e.view.Store(&pick.View{Suspects: suspect.Set{suspect.Fingerprint("s", r, nil): {Level: suspect.Suspected}}})
	h := &hedge{entry: e, x: x, ctx: t.Context()}
	require.Nil(t, h.start())
	require.Equal(t, armed, h.phase)
}

func deathError() *kind.Error {
	err := kind.New(kind.BackendDied, "died")
	err.Death = 7
	return err
}

// Guards against a request on trial that is sent on to a second server after it has crashed one.
func TestRequestOnTrialIsNotRetriedAfterDeath(t *testing.T) {
	s := attemptState{entry: &Entry{}, x: &request{}}
	s.recordError(deathError())
	require.False(t, s.crashesTooOften())
	s.x.onTrial = true
	require.True(t, s.crashesTooOften())
}

// Guards against nodes that try a request all at once when its block ends.
func TestNodeDelaysItsFirstTrial(t *testing.T) {
	r := httptest.NewRequest(http.MethodGet, "/x", nil)
	x := &request{in: r, service: &pick.Service{Service: &config.Service{Service: fleet.Service{Name: "s"}}}}
	const ends = time.Minute
	v := &pick.View{Suspects: suspect.Set{suspect.Fingerprint("s", r, nil): {Level: suspect.Blocked, Until: ends}}}
	delay := suspect.TrialDelay(time.Second)
	refusal := x.checkSuspect(v, delay, ends)
	require.NotNil(t, refusal)
	require.Equal(t, time.Second, refusal.RetryAfter)
	require.Nil(t, x.checkSuspect(v, delay, ends+time.Second))
	require.True(t, x.suspected)
	require.True(t, x.onTrial)
}
