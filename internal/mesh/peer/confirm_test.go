package peer

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetdock/limpetdock/internal/kind"
	"github.com/limpetdock/limpetdock/internal/mesh"
	"github.com/limpetdock/limpetdock/internal/stopping"
)

// startConfirming starts a node that asks for confirmation, and a client that knows that it does.
func startConfirming(t *testing.T, run func(ctx context.Context, r *mesh.Request) (*mesh.Answer, *kind.Error)) (addr string, s *Server, c *Client) {
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

// Guards against the outcome of a request being unknown because the node in whose queue it
// waited died.
func TestUnconfirmedRequestIsNotRunWhenNodeDies(t *testing.T) {
	waiting := make(chan struct{})
	addr, s, c := startConfirming(t, func(ctx context.Context, r *mesh.Request) (*mesh.Answer, *kind.Error) {
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
	require.Equal(t, kind.NotRun, err.ReportedOutcome())
}

// Guards against resending a request that may have run at a node that died.
func TestConfirmedRequestHasUnknownOutcomeWhenNodeDies(t *testing.T) {
	running := make(chan struct{})
	addr, s, c := startConfirming(t, func(ctx context.Context, r *mesh.Request) (*mesh.Answer, *kind.Error) {
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
	require.Equal(t, kind.Unknown, err.ReportedOutcome())
}

// Guards against a request that runs after its caller received the outcome not-run.
func TestTimedOutRequestIsNotConfirmed(t *testing.T) {
	confirmed := make(chan error, 1)
	released := make(chan struct{})
	addr, _, c := startConfirming(t, func(_ context.Context, r *mesh.Request) (*mesh.Answer, *kind.Error) {
		<-released
		confirmed <- r.Confirm(context.Background())
		return nil, kind.New(kind.DeadlineNotRun, "not confirmed")
	})
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	_, err := c.Run(ctx, addr, &mesh.Request{})
	close(released)
	require.Equal(t, kind.DeadlineNotRun, err.Kind)
	require.Equal(t, kind.NotRun, err.ReportedOutcome())
	require.Error(t, <-confirmed)
}

// Guards against each of many requests of an unreachable entry holding a slot for confirmTimeout.
func TestUnresponsiveEntryIsWaitedForOnce(t *testing.T) {
	near, far := net.Pipe()
	defer func() { _ = far.Close() }()
	c := &serverConn{writer: newWriter(near, nil, nil), unconfirmed: map[uint32]chan struct{}{}}
	defer c.writer.close()
	go func() {
		// The entry reads bytes and sends none.
		var b [1 << 10]byte
		for {
			if _, err := far.Read(b[:]); err != nil {
				return
			}
		}
	}()
	began := time.Now()
	require.ErrorIs(t, c.confirm(t.Context(), 1), errUnconfirmed)
	require.GreaterOrEqual(t, time.Since(began), confirmTimeout)
	require.True(t, c.unresponsive.Load())
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	require.ErrorIs(t, c.confirm(ctx, 2), errUnconfirmed, "without a wait")
	require.True(t, c.handleFrame(t.Context(), framePing, 0, nil))
	require.ErrorIs(t, c.confirm(ctx, 3), context.Canceled, "a frame was received again")
}

// Guards against requests that wait for confirmation at a node of a version without it, and
// are taken for not run though they ran.
func TestUnconfirmedRequestMayHaveRunAtPeerThatDoesNotConfirm(t *testing.T) {
	l := &link{streams: map[uint32]*stream{}, client: NewClient(mesh.Place{}, &loadRecorder{last: map[string]mesh.Load{}})}
	_, s := l.openStream(true)
	require.True(t, l.mayHaveRun(s), "the peer has reported nothing yet")
	l.handleLoad(nil, loadBody{Confirms: true}, extension{}, false)
	require.False(t, l.mayHaveRun(s))
	l.handleLoad(nil, loadBody{}, extension{}, false)
	require.True(t, l.mayHaveRun(s))
}

// Guards against an unknown outcome of a request that only waited at a node, because it was the
// first one on its connection.
func TestFirstRequestOfConnectionIsNotRunUntilConfirmed(t *testing.T) {
	for name, end := range map[string]func(s *Server, cancel context.CancelCauseFunc){
		"the entry stops": func(_ *Server, cancel context.CancelCauseFunc) { cancel(stopping.Err) },
		"the node dies":   func(s *Server, _ context.CancelCauseFunc) { s.Close() },
	} {
		t.Run(name, func(t *testing.T) {
			waiting := make(chan struct{})
			addr, s, c, loads := start(t, func(ctx context.Context, r *mesh.Request) (*mesh.Answer, *kind.Error) {
				close(waiting)
				<-ctx.Done()
				require.Error(t, r.Confirm(ctx))
				return nil, kind.New(kind.DeadlineNotRun, "not confirmed")
			})
			ctx, cancel := context.WithCancelCause(t.Context())
			defer cancel(nil)
			go func() {
				<-waiting
				for loads.load(addr).Slots == 0 {
					time.Sleep(time.Millisecond)
				}
				end(s, cancel)
			}()
			_, err := c.Run(ctx, addr, &mesh.Request{})
			require.Equal(t, kind.NotRun, err.ReportedOutcome())
		})
	}
}
