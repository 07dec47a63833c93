package guard

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetdock/limpetdock/internal/gate"
	"github.com/limpetdock/limpetdock/internal/headers"
	"github.com/limpetdock/limpetdock/internal/kind"
)

func booking(t *testing.T, attempt string) *http.Request {
	r := httptest.NewRequestWithContext(t.Context(), http.MethodPost, "/book", http.NoBody)
	r.Header.Set(headers.Attempt, attempt)
	r.Header.Set(headers.Incarnation, "1")
	r.Header.Set(headers.Tick, "0")
	r.Header.Set(headers.Service, "s")
	r.Header.Set(headers.TimeoutMs, "60000")
	return r
}

// Guards against a stop at whose limit a waiting request gets the slot of one that is ended before
// it: it was sent to the backend server and then ended with an unknown outcome.
func TestWaitingRequestDoesNotStartAfterStopLimit(t *testing.T) {
	begun, release := make(chan struct{}, 2), make(chan struct{})
	backend := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		begun <- struct{}{}
		<-release
	}))
	defer backend.Close()
	defer close(release)
	g := newGuardForURL(t, backend.URL)
	g.SetView(viewOf(t, 1, 4))
	g.gate.SetLimits(gate.Limits{Slots: 1, Queue: 4})
	ctx, end := context.WithCancel(t.Context())
	go func() {
		resp, _ := g.RoundTrip(booking(t, "a").WithContext(ctx))
		_ = resp.Body.Close()
	}()
	<-begun
	answered := make(chan *http.Response, 1)
	go func() {
		resp, _ := g.RoundTrip(booking(t, "b"))
		answered <- resp
	}()
	require.Eventually(t, func() bool { return g.Load().Waiting == 1 }, time.Minute, time.Millisecond)
	g.EndStarts()
	end()
	release <- struct{}{}
	resp := <-answered
	defer func() { _ = resp.Body.Close() }()
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
	require.Equal(t, string(kind.Leaving), resp.Header.Get(headers.Kind))
	require.Equal(t, string(kind.NotRun), resp.Header.Get(headers.Outcome))
	require.Empty(t, begun)
}

// Guards against a stop that ends, or breaks the process, while a request that waited in
// the queue at its begin runs.
func TestWaitIncludesQueuedRequests(t *testing.T) {
	begun, release := make(chan struct{}), make(chan struct{})
	backend := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		begun <- struct{}{}
		<-release
	}))
	defer backend.Close()
	g := newGuardForURL(t, backend.URL)
	v := viewOf(t, 1, 4)
	g.SetView(v)
	g.gate.SetLimits(gate.Limits{Slots: 1, Queue: 4})
	const requests = 3
	answered := make(chan int, requests)
	for i := range requests {
		r := booking(t, string(rune('a'+i)))
		go func() {
			resp, _ := g.RoundTrip(r)
			_ = resp.Body.Close()
			answered <- resp.StatusCode
		}()
	}
	<-begun
	require.Eventually(t, func() bool { return g.Load().Waiting == requests-1 }, time.Minute, time.Millisecond)
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = g.Wait(t.Context())
	}()
	for i := range requests {
		if i > 0 {
			<-begun
		}
		select {
		case <-done:
			t.Fatalf("Wait returned while request %d of %d runs", i+1, requests)
		case <-time.After(10 * time.Millisecond):
		}
		release <- struct{}{}
	}
	<-done
	for range requests {
		require.Equal(t, http.StatusOK, <-answered)
	}
}
