package peer

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/rotisserie/eris"
	"github.com/stretchr/testify/require"

	"github.com/limpetdock/limpetdock/internal/kind"
	"github.com/limpetdock/limpetdock/internal/mesh"
	"github.com/limpetdock/limpetdock/internal/virtualtime"
)

// Guards against a request that outlasts its deadline because it dials a connection.
func TestDialDoesNotOutlastRequestDeadline(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		c := NewClient(mesh.Place{}, &loadRecorder{last: map[string]mesh.Load{}})
		released := make(chan struct{})
		c.dial = func(string) (net.Conn, error) {
			<-released
			return nil, eris.New("unreachable")
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err := c.Run(ctx, "peer", &mesh.Request{Remaining: time.Second})
		require.Equal(t, kind.Unreachable, err.Kind)
		require.ErrorIs(t, err, context.DeadlineExceeded)
		close(released)
	})
}

// Guards against a target that is sent more time than remains, because the connection to its
// node was dialled first.
func TestDialTimeIsSubtractedFromRequestTimes(t *testing.T) {
	const dial = 300 * time.Millisecond
	sent := mesh.Request{Remaining: time.Second, ObjectiveRemaining: dial / 2, QueueTimeout: dial / 3}
	virtualtime.Test(t, func(t *testing.T) {
		var got *mesh.Request
		c, _, stop := startSlowNode(t, false, func(_ context.Context, r *mesh.Request) *mesh.Answer {
			got = r
			return &mesh.Answer{Status: 200}
		}, func(*wire) { time.Sleep(dial) })
		defer stop()
		_, err := c.Run(t.Context(), "peer", &sent)
		require.Nil(t, err)
		require.Equal(t, sent.Remaining-dial, got.Remaining)
		require.Equal(t, sent.ObjectiveRemaining-dial, got.ObjectiveRemaining)
		require.Zero(t, got.QueueTimeout)
	})
}
