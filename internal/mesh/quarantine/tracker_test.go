package quarantine_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetdock/limpetdock/internal/mesh/quarantine"
	"github.com/limpetdock/limpetdock/internal/suspect"
	"github.com/limpetdock/limpetdock/internal/virtualtime"
)

const crashing = 7

func print(f uint64) func() uint64 { return func() uint64 { return f } }

// hop is the time of a message between two nodes.
const hop = 10 * time.Millisecond

// network delivers the messages of nodes to those that are connected to them.
type network struct {
	mu      sync.Mutex
	rnd     *rand.Rand
	nodes   []*quarantine.Tracker
	clients [][]int
	// lossPercent is how many of 100 messages are lost.
	lossPercent int
	sent        int
}

// sender sends the messages of one node.
type sender struct {
	net  *network
	from int
}

func (s sender) SendSuspects(rows []quarantine.Row, fanout int) {
	n := s.net
	n.mu.Lock()
	defer n.mu.Unlock()
	to := n.rnd.Perm(len(n.clients[s.from]))
	if fanout != quarantine.Everyone {
		to = to[:min(fanout, len(to))]
	}
	for _, i := range to {
		n.sent++
		if n.rnd.IntN(100) < n.lossPercent {
			continue
		}
		node := n.nodes[n.clients[s.from][i]]
		time.AfterFunc(hop, func() { node.Merge(rows) })
	}
}

// newNetwork starts nodes. Each is connected to the others of its region, and one in farClients of
// the other regions' nodes is connected to it.
func newNetwork(t *testing.T, size, regions, farClients, lossPercent int) *network {
	n := &network{rnd: rand.New(rand.NewPCG(1, uint64(size))), clients: make([][]int, size), lossPercent: lossPercent}
	for i := range size {
		start := time.Now()
		n.nodes = append(n.nodes, quarantine.New(func() time.Duration { return time.Since(start) }))
		for other := range size {
			if other != i && (other%regions == i%regions || n.rnd.IntN(farClients) == 0) {
				n.clients[i] = append(n.clients[i], other)
			}
		}
	}
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	for i, node := range n.nodes {
		running.Go(func() { node.Run(ctx, sender{n, i}) })
	}
	t.Cleanup(func() {
		cancel()
		running.Wait()
	})
	return n
}

func (n *network) messages() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.sent
}

// at returns how many nodes treat a request as the level says.
func (n *network) at(fingerprint uint64, level suspect.Level) (count int) {
	for _, node := range n.nodes {
		if node.Check(print(fingerprint)).Level == level {
			count++
		}
	}
	return count
}

// Guards against nodes that go on sending a crashing request as the news of its crashes has not
// reached them: links lose messages, and few nodes of other regions are connected to the guard.
func TestNewsReachesEveryNode(t *testing.T) {
	for _, c := range []struct{ size, regions, farClients, lossPercent int }{
		{18, 3, 2, 0}, {18, 3, 6, 30}, {83, 3, 10, 10}, {890, 3, 50, 10},
	} {
		t.Run(fmt.Sprint(c), func(t *testing.T) {
			virtualtime.Test(t, func(t *testing.T) {
				n := newNetwork(t, c.size, c.regions, c.farClients, c.lossPercent)
				n.nodes[0].Died(crashing, suspect.Death{ID: 1})
				n.nodes[1].Died(crashing, suspect.Death{ID: 2, Alone: true})
				const bound = 3 * time.Second
				time.Sleep(bound)
				require.Equal(t, c.size, n.at(crashing, suspect.Blocked))
				t.Logf("%d messages in %v", n.messages(), bound)
			})
		})
	}
}

// Guards against a popular request that stays blocked or isolated at some nodes after it was
// answered.
func TestCompletionClearsEverywhere(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		n := newNetwork(t, 18, 3, 3, 10)
		n.nodes[0].Died(crashing, suspect.Death{ID: 1})
		time.Sleep(time.Second)
		require.Equal(t, 18, n.at(crashing, suspect.Suspected))
		n.nodes[5].Completed(crashing)
		time.Sleep(2500 * time.Millisecond)
		require.Equal(t, 18, n.at(crashing, suspect.Unsuspected))
	})
}

// Guards against a node that lost its memory and runs a crashing request once more.
func TestConnectingNodeReceivesTheTable(t *testing.T) {
	now := func() time.Duration { return time.Minute }
	known, restarted := quarantine.New(now), quarantine.New(now)
	require.Empty(t, known.Initial())
	known.Died(crashing, suspect.Death{ID: 1})
	known.Died(crashing, suspect.Death{ID: 2, Alone: true})
	restarted.Merge(known.Initial())
	require.Equal(t, suspect.Blocked, restarted.Check(print(crashing)).Level)
}

// Guards against requests that stay blocked for good, and nodes that send messages for good.
func TestBlockEndsAndNodesFallSilent(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		n := newNetwork(t, 18, 3, 3, 0)
		n.nodes[0].Died(crashing, suspect.Death{ID: 1, Alone: true})
		n.nodes[0].Died(crashing, suspect.Death{ID: 2, Alone: true})
		time.Sleep(time.Second)
		require.Equal(t, 18, n.at(crashing, suspect.Blocked))
		require.LessOrEqual(t, n.nodes[9].Check(print(crashing)).Until, suspect.BlockFor+time.Second)
		time.Sleep(suspect.BlockFor)
		require.Equal(t, 18, n.at(crashing, suspect.Suspected))
		time.Sleep(suspect.BlockFor + 24*time.Hour)
		require.Equal(t, 18, n.at(crashing, suspect.Unsuspected))
		require.Zero(t, n.nodes[9].Len())
		before := n.messages()
		time.Sleep(time.Minute)
		require.Equal(t, before, n.messages())
	})
}

// Guards against nodes that go on sending a table often that no longer changes.
func TestSettledTableIsSentRarely(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		n := newNetwork(t, 18, 3, 3, 0)
		n.nodes[0].Died(crashing, suspect.Death{ID: 1, Alone: true})
		n.nodes[0].Died(crashing, suspect.Death{ID: 2, Alone: true})
		time.Sleep(suspect.BlockFor + 5*time.Second)
		before := n.messages()
		time.Sleep(time.Minute)
		sent := n.messages() - before
		require.Positive(t, sent, "nodes that missed the news still receive it")
		require.LessOrEqual(t, sent, 18*2*2, "two messages of each node every 30 s")
	})
}

// Guards against a request that stays on trial after it was answered.
func TestCompletionOnTrialClearsEverywhere(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		n := newNetwork(t, 18, 3, 3, 0)
		n.nodes[0].Died(crashing, suspect.Death{ID: 1, Alone: true})
		n.nodes[0].Died(crashing, suspect.Death{ID: 2, Alone: true})
		time.Sleep(suspect.BlockFor + 5*time.Second)
		require.True(t, n.nodes[9].Check(print(crashing)).OnTrial)
		n.nodes[5].Completed(crashing)
		time.Sleep(2500 * time.Millisecond)
		require.Equal(t, 18, n.at(crashing, suspect.Unsuspected))
		time.Sleep(time.Hour)
		require.Equal(t, 18, n.at(crashing, suspect.Unsuspected))
	})
}

// Guards against the cost of reading each request while there are no suspects.
func TestNoFingerprintWithoutSuspects(t *testing.T) {
	tracker := quarantine.New(func() time.Duration { return 0 })
	entry := tracker.Check(func() uint64 {
		require.Fail(t, "the request is read")
		return 0
	})
	require.Equal(t, suspect.Unsuspected, entry.Level)
}

// Guards against nodes that send all others a message for each exchange that breaks off.
func TestUncertainDeathsSendNoMessagesAtOnce(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		n := newNetwork(t, 83, 3, 10, 0)
		const requests = 200
		for i := range uint64(requests) {
			n.nodes[i%83].Died(100+i, suspect.Death{ID: i, Uncertain: true})
		}
		const duration = 2 * time.Second
		time.Sleep(duration)
		// Each node sends a part of its table to two others twice a second.
		require.LessOrEqual(t, n.messages(), 83*2*2*2+83*2)
		n.nodes[0].Died(crashing, suspect.Death{ID: 1001, Uncertain: true})
		n.nodes[0].Died(crashing, suspect.Death{ID: 1002, Uncertain: true})
		time.Sleep(duration)
		require.Equal(t, 83, n.at(crashing, suspect.Suspected), "a suspect is announced")
	})
}

// Guards against a popular request that is blocked by deaths of long ago, as their news arrived after it had
// been answered.
func TestAnsweredRequestKeepsNoOldDeath(t *testing.T) {
	now := time.Minute
	tracker := quarantine.New(func() time.Duration { return now })
	die := func(id uint64) { tracker.Died(crashing, suspect.Death{ID: id, Alone: true, Served: true}) }
	die(1)
	require.Equal(t, suspect.Unsuspected, tracker.Check(print(crashing)).Level)
	require.True(t, tracker.Check(print(crashing)).Open)
	tracker.Completed(crashing)
	require.False(t, tracker.Check(print(crashing)).Open, "it isn't cleared again and again")
	now += 8 * time.Second
	die(2)
	die(3)
	require.Equal(t, suspect.Suspected, tracker.Check(print(crashing)).Level)
}
