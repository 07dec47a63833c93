package platform_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/url"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/limpetdock/limpetdock/fleet"
	"github.com/limpetdock/limpetdock/internal/platform"
)

// Checks which answers of the platform are errors, and that a missing key and an
// oversized value can be distinguished.
func TestPlatformAnswersAndErrors(t *testing.T) {
	cases := []struct {
		name, version string
		status        int
		body          []byte
		want          error
		fails         bool
	}{
		{"a value", "7", http.StatusOK, []byte("text"), nil, false},
		{"a value without a version", "", http.StatusOK, []byte("text"), nil, false},
		{"no such key", "", http.StatusNotFound, nil, platform.ErrNotFound, true},
		{"a failure", "", http.StatusServiceUnavailable, nil, nil, true},
		{"a value over a megabyte", "7", http.StatusOK, make([]byte, fleet.MaxDocument+1), platform.ErrTooLarge, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				require.Equal(t, "/zone/z/v1/values/index", r.URL.Path)
				w.Header().Set("X-Version", c.version)
				w.WriteHeader(c.status)
				_, _ = w.Write(c.body)
			}))
			defer srv.Close()
			p := client(t, srv)
			v, err := p.Read(t.Context(), "index")
			require.EqualValues(t, 1, p.Calls.Load())
			if !c.fails {
				require.NoError(t, err)
				require.Equal(t, c.body, v.Text)
				return
			}
			require.Error(t, err)
			if c.want != nil {
				require.ErrorIs(t, err, c.want)
			}
		})
	}
}

func client(t *testing.T, srv *httptest.Server) *platform.HTTP {
	base, err := url.Parse(srv.URL + "/zone/z/")
	require.NoError(t, err)
	p := platform.NewHTTP(base)
	t.Cleanup(p.Close)
	return p
}

// A watch sends the known version; the first read of the VM list does not wait.
func TestWatchSendsKnownVersion(t *testing.T) {
	var requested []string
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		requested = append(requested, r.URL.Query().Get("after"))
		_, _ = w.Write([]byte(`{"version":4,"vms":[{"name":"vm1","ip":"10.0.0.1","state":"leaving"}]}`))
	}))
	defer srv.Close()
	p := client(t, srv)
	for _, after := range []uint64{0, 4} {
		list, err := p.WatchVMs(t.Context(), after)
		require.NoError(t, err)
		require.Equal(t, platform.VMList{Version: 4, VMs: []platform.VM{{Name: "vm1", IP: "10.0.0.1", State: platform.VMLeaving}}}, list)
	}
	_, err := p.Watch(t.Context(), "index", 9)
	require.NoError(t, err)
	require.Equal(t, []string{"", "4", "9"}, requested)
}

// Guards against a read that blocks forever when the platform never answers.
func TestReadEndsWithItsContext(t *testing.T) {
	srv := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }))
	defer srv.Close()
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err := client(t, srv).Read(ctx, "index")
	require.ErrorIs(t, err, context.Canceled)
}
