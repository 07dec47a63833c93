package node

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetdock/limpetdock/internal/core"
)

// Guards against a reset of a request that is in transit while the node stops:
// nobody could know whether a booking sent at that moment ran. Asked to close by the
// next answer, the caller closes the connection itself.
func TestDrainAsksCallersToClose(t *testing.T) {
	d := newDrainer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	s := httptest.NewUnstartedServer(d)
	s.Config.ConnState = d.connState
	s.Start()
	defer s.Close()
	get := func() *http.Response {
		resp, err := s.Client().Get(s.URL)
		require.NoError(t, err)
		_, err = io.Copy(io.Discard, resp.Body)
		require.NoError(t, err)
		require.NoError(t, resp.Body.Close())
		return resp
	}
	require.False(t, get().Close, "kept open while the node runs")
	drained := make(chan struct{})
	go func() {
		_ = d.drain(context.Background())
		close(drained)
	}()
	require.Eventually(t, d.draining.Load, time.Minute, time.Millisecond)
	select {
	case <-drained:
		t.Fatal("drained while a connection is open")
	default:
	}
	require.True(t, get().Close, "asked to close")
	<-drained
}

// A caller that keeps its connection open without sending anything must not block a
// stop beyond the grace period.
func TestDrainEndsWithGracePeriod(t *testing.T) {
	d := newDrainer(nil)
	d.connState(nil, http.StateNew)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	require.Error(t, d.drain(ctx))
	require.True(t, d.draining.Load())
}

// The health endpoint may lag or be wrong. The state changes only on its explicit
// report, or after several refused connections in a row.
func TestBackendState(t *testing.T) {
	refused := error(syscall.ECONNREFUSED)
	timedOut := errors.New("timeout")
	type check struct {
		reported string
		err      error
	}
	cases := []struct {
		name   string
		checks []check
		want   core.BackendState
	}{
		{"live", []check{{"live", nil}}, core.BackendLive},
		{"draining", []check{{"live", nil}, {"draining", nil}}, core.BackendDraining},
		{"starting", []check{{"starting", nil}}, core.BackendStarting},
		{"unknown state", []check{{"draining", nil}, {"fine", nil}}, core.BackendLive},
		{"timeout while draining", []check{{"draining", nil}, {"", timedOut}}, core.BackendDraining},
		{"timeout while live", []check{{"live", nil}, {"", timedOut}, {"", timedOut}, {"", timedOut}, {"", timedOut}}, core.BackendLive},
		{"refused twice", []check{{"live", nil}, {"", refused}, {"", refused}}, core.BackendLive},
		{"refused three times", []check{{"live", nil}, {"", refused}, {"", refused}, {"", refused}}, core.BackendDown},
		{"refused, but not in a row", []check{{"", refused}, {"", refused}, {"live", nil}, {"", refused}}, core.BackendLive},
		{"live again", []check{{"", refused}, {"", refused}, {"", refused}, {"live", nil}}, core.BackendLive},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var h healthCheck
			var got core.BackendState
			for _, one := range c.checks {
				got = h.state(one.reported, one.err)
			}
			require.Equal(t, c.want, got)
		})
	}
}
