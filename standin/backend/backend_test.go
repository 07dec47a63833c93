package main

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func newTestBackend(t *testing.T) (*backend, *httptest.Server) {
	b, err := newBackend(options{Name: "b", Slots: 1})
	require.NoError(t, err)
	s := httptest.NewServer(b.waitWhileFrozen(b.serve))
	t.Cleanup(s.Close)
	return b, s
}

func TestSetKeepsUnnamedFields(t *testing.T) {
	b, _ := newTestBackend(t)
	put := func(text string) int {
		w := httptest.NewRecorder()
		b.set(w, httptest.NewRequest(http.MethodPut, "/-/set", strings.NewReader(text)))
		return w.Code
	}
	require.Equal(t, http.StatusOK, put(`{"service_ms": 7}`))
	require.Equal(t, http.StatusOK, put(`{"lie": 0}`))
	require.Equal(t, http.StatusBadRequest, put(`{"service_ms": 9, "typo": 1}`))
	require.Equal(t, behaviour{ServiceMs: 7, State: "live"}, b.behaviour())
}

// A server that continues after a request's deadline holds a slot that other
// requests wait for; under overload no request would then finish in time.
func TestSlotIsReleasedAtDeadline(t *testing.T) {
	b, s := newTestBackend(t)
	b.current.ServiceMs = time.Hour.Seconds() * 1000
	send := func(timeoutMs string) error {
		r, err := http.NewRequest(http.MethodPost, s.URL, strings.NewReader("x"))
		require.NoError(t, err)
		r.Header.Set(timeoutHeader, timeoutMs)
		resp, err := http.DefaultClient.Do(r)
		if err == nil {
			_ = resp.Body.Close()
		}
		return err
	}
	require.Error(t, send("20"), "an expired request got a response")
	b.mu.Lock()
	b.current.ServiceMs = 0
	b.mu.Unlock()
	require.NoError(t, send("60000"))
}

func TestFrozenServerResumes(t *testing.T) {
	b, s := newTestBackend(t)
	b.current.Frozen = true
	answered := make(chan error, 1)
	go func() {
		resp, err := http.Get(s.URL)
		if err == nil {
			err = resp.Body.Close()
		}
		answered <- err
	}()
	select {
	case <-answered:
		t.Fatal("a frozen server answered")
	case <-time.After(50 * time.Millisecond):
	}
	b.mu.Lock()
	b.current.Frozen = false
	b.mu.Unlock()
	require.NoError(t, <-answered)
}
