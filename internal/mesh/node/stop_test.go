package node

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetdock/limpetdock/internal/mesh"
	"github.com/limpetdock/limpetdock/internal/mesh/front"
	"github.com/limpetdock/limpetdock/internal/mesh/peer"
	"github.com/limpetdock/limpetdock/internal/virtualtime"
)

// Guards against a node that ends its callers' requests while other work isn't done, or before
// callers have learned that it stops.
func TestStopWaitsForAllWorkWithinLimit(t *testing.T) {
	const limit = 10 * time.Second
	cases := map[string]struct {
		// busy is how long each part of the work takes.
		busy [2]time.Duration
		want time.Duration
	}{
		"nothing to do":         {[2]time.Duration{}, minStopTime},
		"the first part lasts":  {[2]time.Duration{5 * time.Second, 0}, 5 * time.Second},
		"the second part lasts": {[2]time.Duration{0, 5 * time.Second}, 5 * time.Second},
		"work beyond the limit": {[2]time.Duration{0, time.Minute}, limit},
	}
	for name, one := range cases {
		t.Run(name, func(t *testing.T) {
			virtualtime.Test(t, func(t *testing.T) {
				var idle [2]atomic.Bool
				for i, busy := range one.busy {
					timer := time.AfterFunc(busy, func() { idle[i].Store(true) })
					defer timer.Stop()
				}
				began := time.Now()
				awaitIdle(limit, idle[0].Load, idle[1].Load)
				require.InDelta(t, one.want, time.Since(began), float64(2*stopPollInterval))
			})
		})
	}
}

// callers is a handler that holds each request until it is released.
type callers struct{ began, release chan struct{} }

func (c callers) Serve(context.Context, *front.Request) *front.Response {
	close(c.began)
	<-c.release
	return c.Reject(http.StatusOK)
}

func (callers) Reject(status int) *front.Response {
	return &front.Response{Status: status, Header: http.Header{}}
}

func (callers) Limits() mesh.Limits { return mesh.Limits{} }

// Guards against a node that stops while a request of a caller is in flight, and ends it although
// there is time left.
func TestNodeIsBusyWhileRequestOfCallerIsInFlight(t *testing.T) {
	h := callers{make(chan struct{}), make(chan struct{})}
	p := &components{Front: front.New(h), Peers: peer.NewServer(nil, mesh.Place{})}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	go func() { _ = p.Front.Serve(l) }()
	c, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	defer func() { _ = c.Close() }()
	require.True(t, p.callersIdle())
	_, err = fmt.Fprint(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	require.NoError(t, err)
	<-h.began
	require.False(t, p.callersIdle())
	ended := make(chan int, 1)
	go func() {
		n, _ := p.endRequests(time.Minute)
		ended <- n
	}()
	close(h.release)
	_, err = c.Read(make([]byte, 1))
	require.NoError(t, err)
	require.NoError(t, c.Close())
	require.Zero(t, <-ended)
}
