package peer

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetdock/limpetdock/internal/kind"
	"github.com/limpetdock/limpetdock/internal/mesh"
)

// confirming starts a node that confirms requests which ask for it, and a client that knows
// that.
func confirming(t *testing.T, run func(ctx context.Context, r *mesh.Request) (*mesh.Answer, *kind.Error)) (addr string, s *Server, c *Client) {
	addr, s, c, _ = start(t, func(ctx context.Context, r *mesh.Request) (*mesh.Answer, *kind.Error) {
		if r.Idempotent {
			return &mesh.Answer{Status: 200}, nil
		}
		return run(ctx, r)
	})
	_, err := c.Run(t.Context(), addr, &mesh.Request{Idempotent: true})
	require.Nil(t, err)
	return addr, s, c
}

// Guards against bookings that are given up as unknown because the node died in whose queue
// they waited.
func TestARequestThatWaitedAtANodeThatDiesIsKnownNotToHaveRun(t *testing.T) {
	waiting := make(chan struct{})
	addr, s, c := confirming(t, func(ctx context.Context, r *mesh.Request) (*mesh.Answer, *kind.Error) {
		close(waiting)
		<-ctx.Done()
		require.Error(t, r.Confirm(ctx))
		return nil, kind.New(kind.DeadlineNotRun, "not confirmed")
	})
	go func() {
		<-waiting
		s.Close()
	}()
	_, err := c.Run(t.Context(), addr, &mesh.Request{})
	require.Equal(t, kind.Unreachable, err.Kind)
	require.Equal(t, kind.NotRun, err.Said())
}

// Guards against a booking that ran at a node which died and is sent to another one.
func TestARequestThatWasConfirmedMayHaveRunWhenItsNodeDies(t *testing.T) {
	running := make(chan struct{})
	addr, s, c := confirming(t, func(ctx context.Context, r *mesh.Request) (*mesh.Answer, *kind.Error) {
		require.NoError(t, r.Confirm(ctx))
		close(running)
		<-ctx.Done()
		return nil, kind.New(kind.OutcomeUnknown, "cancelled")
	})
	go func() {
		<-running
		s.Close()
	}()
	_, err := c.Run(t.Context(), addr, &mesh.Request{})
	require.Equal(t, kind.OutcomeUnknown, err.Kind)
	require.Equal(t, kind.Unknown, err.Said())
}

// Guards against a booking whose caller was told that it hasn't run, and that runs later.
func TestARequestThatWasGivenUpIsNotConfirmed(t *testing.T) {
	confirmed := make(chan error, 1)
	given := make(chan struct{})
	addr, _, c := confirming(t, func(_ context.Context, r *mesh.Request) (*mesh.Answer, *kind.Error) {
		<-given
		confirmed <- r.Confirm(context.Background())
		return nil, kind.New(kind.DeadlineNotRun, "not confirmed")
	})
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	_, err := c.Run(ctx, addr, &mesh.Request{})
	close(given)
	require.Equal(t, kind.DeadlineNotRun, err.Kind)
	require.Equal(t, kind.NotRun, err.Said())
	require.Error(t, <-confirmed)
}

// Guards against slots that are held for each of many requests of a machine that went dark.
func TestRequestsOfASilentEntryDoNotEachHoldASlot(t *testing.T) {
	mine, theirs := net.Pipe()
	defer func() { _ = theirs.Close() }()
	c := &serverConn{writer: newWriter(mine), unconfirmed: map[uint32]chan struct{}{}}
	defer c.writer.close()
	go func() {
		// The entry takes bytes and says nothing.
		var b [1 << 10]byte
		for {
			if _, err := theirs.Read(b[:]); err != nil {
				return
			}
		}
	}()
	began := time.Now()
	require.ErrorIs(t, c.confirm(t.Context(), 1), errUnconfirmed)
	require.GreaterOrEqual(t, time.Since(began), confirmWithin)
	require.True(t, c.mute.Load())
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	require.ErrorIs(t, c.confirm(ctx, 2), errUnconfirmed, "without a wait")
	require.True(t, c.take(t.Context(), framePing, 0, nil))
	require.ErrorIs(t, c.confirm(ctx, 3), context.Canceled, "it is heard again")
}

// Guards against requests that wait to be confirmed at a node from before there was that, and
// are taken for not run though they did.
func TestOnlyANodeThatConfirmsIsAskedTo(t *testing.T) {
	addr, _, c, _ := start(t, func(_ context.Context, r *mesh.Request) (*mesh.Answer, *kind.Error) {
		require.Nil(t, r.Confirm)
		return &mesh.Answer{Status: 200}, nil
	})
	_, err := c.Run(t.Context(), addr, &mesh.Request{})
	require.Nil(t, err)
	l := c.link(linkKey{addr: addr})
	_, s := l.open(true)
	require.False(t, s.mayRun(), "its answers say that it confirms")
	l.reported(loadBody{})
	_, s = l.open(true)
	require.True(t, s.mayRun())
}
