package guard

import (
	"net/url"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetdock/limpetdock/internal/virtualtime"
)

// A stopping node reads the VM list again, so that it may hand over its keys. The
// control loop still reports listings up to 30 s old from peers. If these replaced the
// fresh listing, the handover would succeed or fail by chance.
func TestOlderListingIsIgnored(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		start := time.Now()
		g := New(&url.URL{}, 1, func() time.Duration { return time.Since(start) })
		g.SetAddr("ip")
		g.SetView(viewOf(t, 1, 1))
		time.Sleep(time.Hour)
		g.ConfirmListed("ip", time.Hour-30*time.Second)
		_, _, ok := g.HandoverSize()
		require.False(t, ok, "too old")
		g.ConfirmListed("ip", time.Hour)
		g.ConfirmListed("ip", time.Hour-30*time.Second)
		_, hold, ok := g.HandoverSize()
		require.True(t, ok)
		require.Positive(t, hold)
		g.ConfirmListed("other", time.Hour-time.Second)
		_, _, ok = g.HandoverSize()
		require.False(t, ok, "an older listing with another address counts")
	})
}
