package suspect

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetdock/limpetdock/internal/virtualtime"
)

// A suspect waits until the requests in flight have ended, and later requests wait for
// the suspect. Otherwise several requests could again have caused a crash.
func TestSuspectRunsAlone(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		var i Isolation
		ctx := t.Context()
		require.True(t, i.join(ctx))
		var order []string
		go func() {
			v, ok := i.enterAlone(ctx)
			require.True(t, ok)
			order = append(order, "suspect in")
			time.Sleep(time.Second)
			order = append(order, "suspect out")
			v.Leave()
		}()
		synctest.Wait()
		require.Empty(t, order, "the suspect waits for the request in flight")
		go func() {
			require.True(t, i.join(ctx))
			order = append(order, "other in")
			i.leave()
		}()
		synctest.Wait()
		i.leave()
		time.Sleep(2 * time.Second)
		synctest.Wait()
		require.Equal(t, []string{"suspect in", "suspect out", "other in"}, order)
	})
}

// A suspect that never ends must not block its target for all other requests.
func TestSuspectIsolationIsBounded(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		var i Isolation
		v, ok := i.enterAlone(t.Context())
		require.True(t, ok)
		ctx, cancel := context.WithTimeout(t.Context(), maxIsolation/2)
		defer cancel()
		require.False(t, i.join(ctx), "others wait while the suspect is alone")
		require.True(t, i.join(t.Context()), "but only up to maxIsolation")
		i.leave()
		v.Leave()
		require.True(t, i.join(t.Context()))
	})
}

// A suspect whose deadline passes while it waits must stop blocking the others.
func TestExpiredSuspectUnblocksOthers(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		var i Isolation
		require.True(t, i.join(t.Context()))
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, ok := i.enterAlone(ctx)
		require.False(t, ok)
		require.True(t, i.join(t.Context()))
	})
}

// A suspect that exceeds maxIsolation continues alongside other requests. If the
// server dies then, the cause can't be determined.
func TestSuspectPastIsolationLimitIsNotAlone(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		var i Isolation
		v, ok := i.Enter(t.Context(), true)
		require.True(t, ok)
		require.True(t, v.Alone())
		time.Sleep(2 * maxIsolation)
		require.False(t, v.Alone())
		v.Leave()
	})
}
