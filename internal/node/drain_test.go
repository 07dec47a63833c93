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

// A node stops while a caller keeps a connection open. If the node just closed
// it, a booking sent at that moment would see a reset, and nobody could tell
// whether it ran. Told to close with its next answer, the caller closes it.
func TestCallersAreToldToClose(t *testing.T) {
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
		d.drain(context.Background())
		close(drained)
	}()
	require.Eventually(t, d.draining.Load, time.Minute, time.Millisecond)
	select {
	case <-drained:
		t.Fatal("drained while a connection is open")
	default:
	}
	require.True(t, get().Close, "told to close")
	<-drained
}

// A caller keeps its connection and sends nothing: the grace ends the wait.
func TestTheGraceEndsTheWait(t *testing.T) {
	d := newDrainer(nil)
	d.connState(nil, http.StateNew)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	d.drain(ctx)
	require.True(t, d.draining.Load())
}

// The health endpoint lags and misleads. Only its own word, or connections
// refused several times in a row, change what the node makes of it.
func TestBackendState(t *testing.T) {
	refused := error(syscall.ECONNREFUSED)
	silent := errors.New("timeout")
	type check struct {
		said string
		err  error
	}
	cases := []struct {
		name   string
		checks []check
		want   core.BackendState
	}{
		{"live", []check{{"live", nil}}, core.BackendLive},
		{"draining", []check{{"live", nil}, {"draining", nil}}, core.BackendDraining},
		{"starting", []check{{"starting", nil}}, core.BackendStarting},
		{"another word", []check{{"draining", nil}, {"fine", nil}}, core.BackendLive},
		{"silent while draining", []check{{"draining", nil}, {"", silent}}, core.BackendDraining},
		{"silent while live", []check{{"live", nil}, {"", silent}, {"", silent}, {"", silent}, {"", silent}}, core.BackendLive},
		{"refused twice", []check{{"live", nil}, {"", refused}, {"", refused}}, core.BackendLive},
		{"refused three times", []check{{"live", nil}, {"", refused}, {"", refused}, {"", refused}}, core.BackendDown},
		{"refused, but not in a row", []check{{"", refused}, {"", refused}, {"live", nil}, {"", refused}}, core.BackendLive},
		{"back", []check{{"", refused}, {"", refused}, {"", refused}, {"live", nil}}, core.BackendLive},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var h healthCheck
			var got core.BackendState
			for _, one := range c.checks {
				got = h.state(one.said, one.err)
			}
			require.Equal(t, c.want, got)
		})
	}
}
