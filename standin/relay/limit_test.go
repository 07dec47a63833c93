package main

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against each connection of a limited link using the full bandwidth.
func TestConnectionsOfLinkShareBandwidth(t *testing.T) {
	const bytesPerSec = 1000
	link := &limiter{}
	now := time.Now()
	require.Equal(t, now.Add(time.Second), link.reserve(now, bytesPerSec, bytesPerSec))
	require.Equal(t, now.Add(2*time.Second), link.reserve(now, bytesPerSec, bytesPerSec))
	later := now.Add(time.Minute)
	require.Equal(t, later.Add(time.Second), link.reserve(later, bytesPerSec, bytesPerSec))
}

// Guards against each direction of a limited link using the full bandwidth.
func TestDirectionsOfLinkShareLimiter(t *testing.T) {
	r := newRelay([]route{{From: "a", To: "b"}, {From: "b", To: "a"}, {From: "a", To: "c"}})
	require.Same(t, r.limits[link{"a", "b"}], r.limits[link{"b", "a"}])
	require.NotSame(t, r.limits[link{"a", "b"}], r.limits[link{"a", "c"}])
}
