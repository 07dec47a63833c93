package entry

import (
	"bufio"
	"bytes"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/limpetdock/limpetdock/fleet"
	"github.com/limpetdock/limpetdock/internal/config"
	"github.com/limpetdock/limpetdock/internal/kind"
	"github.com/limpetdock/limpetdock/internal/pick"
)

// parseView returns a View with one service, with what parsing needs.
func parseView(t testing.TB) *pick.View {
	f := fleet.Fleet{
		Name: "shop", Revision: 1,
		Zones: []fleet.Zone{{Name: "z", Region: "r"}},
		Teams: []fleet.Team{{Name: "store"}},
		Services: []fleet.Service{{
			Name: "orders", Team: "store",
			Routes:  []fleet.Route{{Name: "read", Methods: []string{"GET"}, Path: "/*", Idempotent: true}},
			Targets: []fleet.Target{{VM: "vm", Zone: "z", Slots: 1}},
		}},
	}
	pub, err := f.Print()
	require.NoError(t, err)
	docs := map[string][]byte{pub.Index.Key: pub.Index.Text, pub.Services[0].Key: pub.Services[0].Text}
	c, err := config.FromDocuments(docs)
	require.NoError(t, err)
	svc := pick.NewService(c.Services["orders"], nil, nil, 0, &pick.Shared{})
	return &pick.View{Config: c, Services: map[string]*pick.Service{"orders": svc}}
}

// FuzzParseRequest parses arbitrary callers' requests. A parsed request must be within the
// declared bounds. A refused one must have a known kind of error, with the outcome not run, or
// unknown if it carries a key under which another copy may have run.
func FuzzParseRequest(f *testing.F) {
	for _, seed := range []string{
		"GET / HTTP/1.1\r\nHost: orders\r\n\r\n",
		"POST /a HTTP/1.1\r\nHost: x\r\nLimpetdock-Service: orders\r\nIdempotency-Key: k\r\nContent-Length: 0\r\n\r\n",
		"GET / HTTP/1.1\r\nHost: orders:80\r\nLimpetdock-Timeout-Ms: 99999999999999999999\r\n\r\n",
		"GET / HTTP/1.1\r\nHost: orders\r\nLimpetdock-Timeout-Ms: -1\r\nLimpetdock-Depth: 15\r\n\r\n",
		"PUT //../x HTTP/1.1\r\nHost: orders\r\nLimpetdock-Retries-Left: +3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"GET / HTTP/1.1\r\nHost: orders\r\nUpgrade: h2c\r\nConnection: Upgrade\r\n\r\n",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		r, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(text)))
		if err != nil {
			return
		}
		v := parseView(t)
		x, refusal := parse(v, r)
		if refusal != nil {
			require.NotEqual(t, kind.Kind(""), refusal.Kind)
			_, known := kind.AnswerOf(refusal.Kind)
			require.True(t, known, refusal.Kind)
			return
		}
		require.Positive(t, x.timeout)
		require.LessOrEqual(t, x.timeout, x.service.MaxTimeout)
		require.LessOrEqual(t, len(x.key), maxKey)
		require.GreaterOrEqual(t, x.depth, 0)
		require.Less(t, x.depth, maxDepth)
		if r.Method != http.MethodGet {
			require.True(t, x.atMostOnce, "only reads are declared idempotent")
		}
	})
}
