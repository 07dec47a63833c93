package node

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
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
			synctest.Test(t, func(t *testing.T) {
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
