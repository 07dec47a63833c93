package peer

import (
	"bufio"
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

// bootstrapNode is a node without state. It counts the queries it sends and the answers it receives.
type bootstrapNode struct {
	server *Server
	// answer answers query number nth of all, from 0, in the name of c.
	answer func(c *Client, nth int) []byte
	known  atomic.Bool
	served sync.WaitGroup

	mu sync.Mutex
	// queries and answers count those of all connections, and most is the largest number
	// of queries that were outstanding at a time.
	queries, answers, most int
}

// validState is a state that the node can use. A slow link takes longer to transfer it than
// the node waits for one byte.
var validState = make([]byte, 4<<20)

// invalidState returns a state that the node can't use.
func invalidState() []byte { return make([]byte, 100<<10) }

const (
	// applyTime is how long a decoded valid state takes to take effect, and decodeTime how
	// long it takes to be decoded.
	applyTime  = 300 * time.Millisecond
	decodeTime = decodeTimeout - applyTime/2
)

// settleTime is long enough for all queries to be sent.
const settleTime = time.Minute

func startBootstrap(t *testing.T, answer func(c *Client, nth int) []byte) *bootstrapNode {
	s := &bootstrapNode{answer: answer}
	s.server = NewServer(fakeHandler{func(ctx context.Context, _ *mesh.Request) (*mesh.Answer, *kind.Error) {
		<-ctx.Done()
		return nil, kind.New(kind.OutcomeUnknown, "cancelled")
	}}, mesh.Place{})
	s.server.SetStateSync(func() bool { return !s.known.Load() }, StateSync{Apply: s.apply})
	t.Cleanup(func() {
		s.server.Close()
		s.served.Wait()
	})
	return s
}

func (s *bootstrapNode) apply(state []byte) {
	s.mu.Lock()
	s.answers++
	s.mu.Unlock()
	if len(state) == len(validState) {
		time.Sleep(decodeTime)
		time.AfterFunc(applyTime, func() { s.known.Store(true) })
	}
}

// answerQuery returns the answer of c to a query.
func (s *bootstrapNode) answerQuery(c *Client) []byte {
	s.mu.Lock()
	nth := s.queries
	s.queries++
	s.most = max(s.most, s.queries-s.answers)
	s.mu.Unlock()
	return s.answer(c, nth)
}

// stats returns how many queries were sent, and the largest number outstanding at a time.
func (s *bootstrapNode) stats() (queries, most int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.queries, s.most
}

// accept serves a connection over a slow link and returns the other end of it.
func (s *bootstrapNode) accept(t *testing.T) net.Conn {
	near, far, _ := slowLink(t)
	s.served.Go(func() { s.server.serve(far) })
	return near
}

// dialFrom makes the given number of nodes dial this one, and returns the last of them.
func (s *bootstrapNode) dialFrom(t *testing.T, nodes int) (c *Client) {
	for range nodes {
		c = NewClient(mesh.Place{}, &loadRecorder{last: map[string]mesh.Load{}})
		c.dial = func(string) (net.Conn, error) { return s.accept(t), nil }
		c.SetStateSync(StateSync{Answer: func(q StateQuery) []byte {
			require.Equal(t, StateQuery{Whole: true}, q)
			return s.answerQuery(c)
		}})
		require.NoError(t, c.Warm(t.Context(), ""))
		t.Cleanup(func() { c.CloseUnused(nil) })
	}
	return c
}

// Guards against whole states from all nodes at once over the slow link of a starting node.
func TestNodesAreQueriedOneAtATime(t *testing.T) {
	const nodes = 10
	virtualtime.Test(t, func(t *testing.T) {
		s := startBootstrap(t, func(*Client, int) []byte { return invalidState() })
		s.dialFrom(t, nodes)
		time.Sleep(settleTime)
		queries, most := s.stats()
		require.Equal(t, nodes, queries)
		require.Equal(t, 1, most)
	})
}

// Guards against waiting for a node that has no state as long as for an unresponsive one.
func TestNextNodeIsQueriedAtOnceAfterEmptyAnswer(t *testing.T) {
	const nodes = 10
	virtualtime.Test(t, func(t *testing.T) {
		s := startBootstrap(t, func(*Client, int) []byte { return nil })
		s.dialFrom(t, nodes)
		time.Sleep(answerPace.StallTimeout / 2)
		queries, most := s.stats()
		require.Equal(t, nodes, queries)
		require.Equal(t, 1, most)
	})
}

// Guards against queries that go on while a state is arriving, and against queries that stop
// without one.
func TestNodesAreQueriedUntilOneSendsValidState(t *testing.T) {
	for name, c := range map[string]struct {
		// before answers the queries before the one that is answered with validState.
		before  func(t *testing.T, c *Client) []byte
		queries int
	}{
		"the first has a valid state": {queries: 1},
		"some have no state":          {func(*testing.T, *Client) []byte { return nil }, 4},
		"some send an invalid state":  {func(*testing.T, *Client) []byte { return invalidState() }, 3},
		"some never answer": {func(t *testing.T, _ *Client) []byte {
			<-t.Context().Done()
			return nil
		}, 3},
		"some disconnect": {func(_ *testing.T, c *Client) []byte {
			c.CloseUnused(nil)
			return nil
		}, 3},
	} {
		t.Run(name, func(t *testing.T) {
			virtualtime.Test(t, func(t *testing.T) {
				s := startBootstrap(t, func(queried *Client, nth int) []byte {
					if nth < c.queries-1 {
						return c.before(t, queried)
					}
					return validState
				})
				s.dialFrom(t, 10)
				time.Sleep(settleTime)
				queries, _ := s.stats()
				require.Equal(t, c.queries, queries)
				require.True(t, s.known.Load())
			})
		})
	}
}

// Guards against a node that keeps sending, but no valid state, and so keeps other nodes from
// being queried.
func TestNodeWithoutValidStateTimesOutDespiteOtherTraffic(t *testing.T) {
	for name, c := range map[string]struct {
		answer []byte
		// size is how much is sent every 10 milliseconds, in bytes.
		size int
	}{
		"without an answer":      {size: 100},
		"with an invalid answer": {answer: rawFrame(frameState, invalidState()), size: 1000},
	} {
		t.Run(name, func(t *testing.T) {
			virtualtime.Test(t, func(t *testing.T) {
				s := startBootstrap(t, func(*Client, int) []byte { return validState })
				busy := s.accept(t)
				hello, err := encode(frameHello, 0, &Hello{})
				require.NoError(t, err)
				_, err = busy.Write(hello)
				require.NoError(t, err)
				frames := bufio.NewReader(busy)
				for _, want := range []frameType{frameLoad, frameStateQuery} {
					frame, _, _, err := decode(frames)
					require.NoError(t, err)
					require.Equal(t, want, frame)
				}
				s.dialFrom(t, 10)
				go keepWriting(t.Context(), busy, c.answer, rawFrame(frameCancel, make([]byte, c.size)))
				time.Sleep(settleTime)
				queries, _ := s.stats()
				require.Equal(t, 1, queries)
				require.True(t, s.known.Load())
			})
		})
	}
}

// keepWriting writes the first frame once, and then the other one repeatedly until ctx ends.
func keepWriting(ctx context.Context, to net.Conn, first, repeated []byte) {
	_, err := to.Write(first)
	for ctx.Err() == nil && err == nil {
		_, err = to.Write(repeated)
		wait(ctx, 10*time.Millisecond)
	}
}

// Guards against forgetting a node that dials while another one is being queried.
func TestNodeThatDialsLaterIsQueried(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		s := startBootstrap(t, func(_ *Client, nth int) []byte {
			if nth == 0 {
				return invalidState()
			}
			return validState
		})
		s.dialFrom(t, 1)
		wait(t.Context(), 10*time.Millisecond)
		s.dialFrom(t, 2)
		time.Sleep(settleTime)
		queries, most := s.stats()
		require.Equal(t, 2, queries)
		require.Equal(t, 1, most)
		s.known.Store(false)
		s.dialFrom(t, 1)
		time.Sleep(settleTime)
		queries, _ = s.stats()
		require.Equal(t, 3, queries)
	})
}

// Guards against a node that is stopping and still queries others.
func TestStoppingNodeSendsNoQueries(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		s := startBootstrap(t, func(*Client, int) []byte {
			wait(t.Context(), pongTimeout/2)
			return nil
		})
		c := s.dialFrom(t, 10)
		// The stop waits for this request.
		go c.Run(t.Context(), "", &mesh.Request{})
		wait(t.Context(), pongTimeout/4)
		drain(s.server)
		s.served.Wait()
		queries, _ := s.stats()
		require.Equal(t, 1, queries)
	})
}

// Guards against a query that outlives its server.
func TestQueriesEndWhenServerCloses(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		s := startBootstrap(t, func(*Client, int) []byte {
			<-t.Context().Done()
			return nil
		})
		s.dialFrom(t, 10)
		time.Sleep(10 * time.Millisecond)
		s.server.Close()
		s.served.Wait()
		queries, _ := s.stats()
		require.Equal(t, 1, queries)
	})
}
