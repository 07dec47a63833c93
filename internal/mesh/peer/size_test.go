package peer

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetdock/limpetdock/internal/mesh"
)

// Bytes between zones and regions are charged for. Guards against frames that are large
// compared with the request and the answer that they carry.
func TestFrameOverheadIsSmall(t *testing.T) {
	load, err := encode(frameLoad, 0, fromLoad(mesh.Load{Running: 5, Slots: 6, ServiceTime: 90 * time.Millisecond, Slowdown: 4, RecoversIn: 150 * time.Millisecond, Revision: 1200}))
	require.NoError(t, err)
	require.LessOrEqual(t, len(load), 40)
	r := &mesh.Request{
		ID: "9c41d07be2a35f68", Method: "GET", URI: "/lepu270/2f", Host: "shop.example", Header: http.Header{},
		Caller: "orders", Service: "catalogue", Target: "i-7f3a91c2", Remaining: time.Second, QueueTimeout: time.Second, BaseServiceTime: time.Second,
	}
	request, err := encode(frameRequest, 7, fromRequest(r))
	require.NoError(t, err)
	answer, err := encode(frameAnswer, 7, &answerBody{Status: 200, Header: http.Header{}, Load: fromLoad(mesh.Load{})})
	require.NoError(t, err)
	own := len(r.ID) + len(r.Method) + len(r.URI) + len(r.Host)
	t.Logf("load report %d bytes; request %d and answer %d besides their own", len(load), len(request)-own, len(answer))
	require.LessOrEqual(t, len(request)-own+len(answer), 150)
}
