package stopping_test

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/limpetdock/limpetdock/internal/stopping"
)

// Guards against a run that outlives its caller, and also the process that holds it.
func TestDetachedContextEndsOnlyWithNode(t *testing.T) {
	base, end := stopping.NewContext()
	caller, leave := context.WithCancel(base)
	detached, release := stopping.WithoutCancel(caller)
	defer release()
	leave()
	require.NoError(t, detached.Err())
	require.False(t, stopping.Ended(caller), "the caller left")
	end()
	<-detached.Done()
	require.True(t, stopping.Ended(detached))
}

func TestContextWithoutServerIsOnlyDetached(t *testing.T) {
	caller, leave := context.WithCancel(t.Context())
	detached, release := stopping.WithoutCancel(caller)
	leave()
	require.NoError(t, detached.Err())
	release()
	require.ErrorIs(t, detached.Err(), context.Canceled)
	require.False(t, stopping.Ended(detached))
}
