package guard

import (
	"net/url"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// A stopping node reads the VM list anew, so that it may hand its keys on. The
// control loop goes on telling what peers said half a minute ago. If that undid
// the fresh word, keys would be handed on or not by chance.
func TestAnOlderWordOfThePlatformChangesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		g := New(&url.URL{}, 1, func() time.Duration { return time.Since(start) })
		g.SetAddr("ip")
		g.SetView(viewOf(t, 1, 1))
		time.Sleep(time.Hour)
		g.Listed("ip", time.Hour-30*time.Second)
		_, _, ok := g.KeysToHand()
		require.False(t, ok, "too old")
		g.Listed("ip", time.Hour)
		g.Listed("ip", time.Hour-30*time.Second)
		_, hold, ok := g.KeysToHand()
		require.True(t, ok)
		require.Positive(t, hold)
		g.Listed("other", time.Hour-time.Second)
		_, _, ok = g.KeysToHand()
		require.False(t, ok, "of another address it counts")
	})
}
