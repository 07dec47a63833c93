package peer

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetdock/limpetdock/internal/kind"
	"github.com/limpetdock/limpetdock/internal/mesh"
	"github.com/limpetdock/limpetdock/internal/virtualtime"
)

// heldConn is a connection whose writes wait until a time.
type heldConn struct {
	net.Conn
	until *atomic.Int64
}

func (c heldConn) Write(b []byte) (int, error) {
	time.Sleep(time.Duration(c.until.Load() - time.Now().UnixNano()))
	return c.Conn.Write(b)
}

// Guards against requests that wait in a link and then run with the time that they had before.
func TestTimeInALinkIsSubtractedFromRequestTimes(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		const (
			timeout = 3 * time.Second
			stalled = 400 * time.Millisecond
			// apart is by how much the nodes' clocks differ.
			apart = time.Hour
		)
		start := time.Now()
		received := make(chan mesh.Request, 1)
		s := NewServer(fakeHandler{func(_ context.Context, r *mesh.Request) (*mesh.Answer, *kind.Error) {
			received <- *r
			return &mesh.Answer{}, nil
		}}, mesh.Place{})
		s.now = func() time.Duration { return time.Since(start) }
		c := NewClient(mesh.Place{}, &loadRecorder{last: map[string]mesh.Load{}})
		c.now = func() time.Duration { return apart + time.Since(start) }
		var served sync.WaitGroup
		held := &atomic.Int64{}
		c.dial = func(string) (net.Conn, error) {
			near, far := net.Pipe()
			served.Go(func() { s.serve(far) })
			return heldConn{near, held}, nil
		}
		defer served.Wait()
		defer s.Close()
		defer c.CloseUnused(nil)
		send := func() *kind.Error {
			_, e := c.Run(context.Background(), "", &mesh.Request{Idempotent: true, Remaining: timeout, ObjectiveRemaining: timeout, QueueTimeout: timeout})
			return e
		}
		require.Nil(t, send())
		require.Equal(t, timeout, (<-received).Remaining)
		held.Store(time.Now().Add(stalled).UnixNano())
		require.Nil(t, send())
		late := <-received
		require.Equal(t, timeout-stalled, late.Remaining)
		require.Equal(t, timeout-stalled, late.ObjectiveRemaining)
		require.Equal(t, timeout, late.QueueTimeout, "time lost on the way makes no other target better")
		require.Nil(t, send())
		require.Equal(t, timeout, (<-received).Remaining, "the link is whole again")
	})
}

// Guards against a drift of the clocks that is taken for ever longer delays.
func TestTransitFollowsDriftOfClocks(t *testing.T) {
	x := transit{}
	const step = time.Second
	for i := range 24 * 60 * 60 {
		sent := time.Duration(i) * step
		received := sent + time.Duration(i)*50*time.Microsecond
		require.Zero(t, x.delay(sent, received))
	}
	require.Equal(t, time.Duration(0), (&transit{}).delay(time.Hour, 0), "the first frame shows nothing")
}

// Guards against delays that go unnoticed after a connection was idle for a time.
func TestTransitRemembersTheShortestOneOfTheLastWindow(t *testing.T) {
	x := transit{}
	x.delay(0, 10*time.Millisecond)
	const idle = 45 * time.Second
	require.Equal(t, time.Second, x.delay(idle, idle+time.Second+10*time.Millisecond))
	require.Equal(t, 2*time.Second, x.delay(idle+1, idle+1+2*time.Second+10*time.Millisecond))
}
