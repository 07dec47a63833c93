package peer

import (
	"bufio"
	"context"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetdock/limpetdock/internal/kind"
	"github.com/limpetdock/limpetdock/internal/mesh"
)

// starting is a node that knows nothing yet, with what it asks and is told.
type starting struct {
	server *Server
	// give answers the question that is the nth of all, from 0, in the name of c.
	give   func(c *Client, nth int) []byte
	known  atomic.Bool
	served sync.WaitGroup

	mu sync.Mutex
	// asks and answers count those of all connections, and most is how many questions
	// were without an answer at a time.
	asks, answers, most int
}

// useful is a state that the node can use. It takes a slow link longer than the node
// waits for a byte.
var useful = make([]byte, 4<<20)

// useless gives a state that the node can't use.
func useless() []byte { return make([]byte, 100<<10) }

const (
	// publishing is how long a useful state that was decoded isn't in force, and decoding
	// how long it takes to be decoded.
	publishing = 300 * time.Millisecond
	decoding   = takeWithin - publishing/2
)

// longEnough is when nobody more is asked.
const longEnough = time.Minute

func startLacking(t *testing.T, give func(c *Client, nth int) []byte) *starting {
	s := &starting{give: give}
	s.server = NewServer(node{func(ctx context.Context, _ *mesh.Request) (*mesh.Answer, *kind.Error) {
		<-ctx.Done()
		return nil, kind.New(kind.OutcomeUnknown, "cancelled")
	}}, mesh.Place{})
	s.server.OnNews(func() bool { return !s.known.Load() }, News{Take: s.take})
	t.Cleanup(func() {
		s.server.Close()
		s.served.Wait()
	})
	return s
}

func (s *starting) take(state []byte) {
	s.mu.Lock()
	s.answers++
	s.mu.Unlock()
	if len(state) == len(useful) {
		time.Sleep(decoding)
		time.AfterFunc(publishing, func() { s.known.Store(true) })
	}
}

// answer gives what c answers to a question.
func (s *starting) answer(c *Client) []byte {
	s.mu.Lock()
	nth := s.asks
	s.asks++
	s.most = max(s.most, s.asks-s.answers)
	s.mu.Unlock()
	return s.give(c, nth)
}

// asked gives how many questions were asked, and how many at a time.
func (s *starting) asked() (asks, most int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.asks, s.most
}

// accept serves a connection over a slow link and gives the other end of it.
func (s *starting) accept(t *testing.T) net.Conn {
	near, far, _ := slowLink(t)
	s.served.Go(func() { s.server.serve(far) })
	return near
}

// dialled has so many nodes dial this one, and gives the last of them.
func (s *starting) dialled(t *testing.T, nodes int) (c *Client) {
	for range nodes {
		c = NewClient(mesh.Place{}, &heard{last: map[string]mesh.Load{}})
		c.dial = func(string) (net.Conn, error) { return s.accept(t), nil }
		c.OnNews(News{Give: func(q Question) []byte {
			require.Equal(t, Question{Whole: true}, q)
			return s.answer(c)
		}})
		require.NoError(t, c.Warm(t.Context(), ""))
		t.Cleanup(func() { c.Keep(nil) })
	}
	return c
}

// Guards against whole states from all nodes at once over the slow link of one that starts.
func TestOneNodeAtATimeIsAskedForAWholeState(t *testing.T) {
	const nodes = 10
	synctest.Test(t, func(t *testing.T) {
		s := startLacking(t, func(*Client, int) []byte { return useless() })
		s.dialled(t, nodes)
		time.Sleep(longEnough)
		asks, most := s.asked()
		require.Equal(t, nodes, asks)
		require.Equal(t, 1, most)
	})
}

// Guards against a node that knows nothing and is waited for like one that is silent.
func TestAnEmptyAnswerLeadsToTheNextNodeAtOnce(t *testing.T) {
	const nodes = 10
	synctest.Test(t, func(t *testing.T) {
		s := startLacking(t, func(*Client, int) []byte { return nil })
		s.dialled(t, nodes)
		time.Sleep(askPace.Stall / 2)
		asks, most := s.asked()
		require.Equal(t, nodes, asks)
		require.Equal(t, 1, most)
	})
}

// Guards against questions that go on though a state is coming, and against ones that stop without a state.
func TestNodesAreAskedUntilOneTellsTheState(t *testing.T) {
	for name, c := range map[string]struct {
		// before answers the questions before the one that is answered with the state.
		before func(t *testing.T, c *Client) []byte
		asks   int
	}{
		"the first tells it":           {asks: 1},
		"some know nothing":            {func(*testing.T, *Client) []byte { return nil }, 4},
		"some tell what can't be used": {func(*testing.T, *Client) []byte { return useless() }, 3},
		"some never answer": {func(t *testing.T, _ *Client) []byte {
			<-t.Context().Done()
			return nil
		}, 3},
		"some leave": {func(_ *testing.T, c *Client) []byte {
			c.Keep(nil)
			return nil
		}, 3},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := startLacking(t, func(asked *Client, nth int) []byte {
					if nth < c.asks-1 {
						return c.before(t, asked)
					}
					return useful
				})
				s.dialled(t, 10)
				time.Sleep(longEnough)
				asks, _ := s.asked()
				require.Equal(t, c.asks, asks)
				require.True(t, s.known.Load())
			})
		})
	}
}

// Guards against a node that sends all the time, tells no state and keeps others from being asked.
func TestANodeThatOnlySendsOtherThingsIsNotWaitedFor(t *testing.T) {
	for name, c := range map[string]struct {
		answer []byte
		// size is how much is sent every ten milliseconds, in bytes.
		size int
	}{
		"without an answer":                 {size: 100},
		"with an answer that can't be used": {answer: rawFrame(frameState, useless()), size: 1000},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := startLacking(t, func(*Client, int) []byte { return useful })
				busy := s.accept(t)
				hello, err := encode(frameHello, 0, &Hello{})
				require.NoError(t, err)
				_, err = busy.Write(hello)
				require.NoError(t, err)
				frame, _, _, err := decode(bufio.NewReader(busy))
				require.NoError(t, err)
				require.Equal(t, frameAsk, frame)
				s.dialled(t, 10)
				go keepWriting(t.Context(), busy, c.answer, rawFrame(frameCancel, make([]byte, c.size)))
				time.Sleep(longEnough)
				asks, _ := s.asked()
				require.Equal(t, 1, asks)
				require.True(t, s.known.Load())
			})
		})
	}
}

// keepWriting writes a frame, and then another one again and again until ctx ends.
func keepWriting(ctx context.Context, to net.Conn, first, again []byte) {
	_, err := to.Write(first)
	for ctx.Err() == nil && err == nil {
		_, err = to.Write(again)
		wait(ctx, 10*time.Millisecond)
	}
}

// Guards against a node that dials while another is asked and is then forgotten.
func TestANodeThatDialsLaterIsAskedInItsTurn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startLacking(t, func(_ *Client, nth int) []byte {
			if nth == 0 {
				return useless()
			}
			return useful
		})
		s.dialled(t, 1)
		wait(t.Context(), 10*time.Millisecond)
		s.dialled(t, 2)
		time.Sleep(longEnough)
		asks, most := s.asked()
		require.Equal(t, 2, asks)
		require.Equal(t, 1, most)
		s.known.Store(false)
		s.dialled(t, 1)
		time.Sleep(longEnough)
		asks, _ = s.asked()
		require.Equal(t, 3, asks)
	})
}

// Guards against a node that stops and still asks others.
func TestAStoppingNodeAsksNobody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startLacking(t, func(*Client, int) []byte {
			wait(t.Context(), pongWithin/2)
			return nil
		})
		c := s.dialled(t, 10)
		// Stopping waits for this request.
		go c.Run(t.Context(), "", &mesh.Request{})
		wait(t.Context(), pongWithin/4)
		finish(s.server)
		s.served.Wait()
		asks, _ := s.asked()
		require.Equal(t, 1, asks)
	})
}

// Guards against a question that outlives its server.
func TestAClosedServerLeavesNoQuestion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startLacking(t, func(*Client, int) []byte {
			<-t.Context().Done()
			return nil
		})
		s.dialled(t, 10)
		time.Sleep(10 * time.Millisecond)
		s.server.Close()
		s.served.Wait()
		asks, _ := s.asked()
		require.Equal(t, 1, asks)
	})
}
