package entry_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetdock/limpetdock/internal/virtualtime"
)

// rediscovery is a deployment in which all nodes are lost while a crashing request comes again and again.
type rediscovery struct {
	nodes, servers int
	seed           uint64
}

const (
	// rediscoveryLoss is when all nodes are lost, and rediscoveryEnd when the requests end.
	rediscoveryLoss = 8 * time.Second
	rediscoveryEnd  = 16 * time.Second
	// readsPerServer is the number of other reads a second for each server. One in crashShare requests
	// is the crashing one.
	readsPerServer = 6
	crashShare     = 20
	// rediscoveryAbsence is how long the nodes were away: callers send what has come up meanwhile at once.
	rediscoveryAbsence = 600 * time.Millisecond
	// rediscoveryBound is how long after the loss the request may reach servers freely, and
	// rediscoveryLater how many it may crash later.
	rediscoveryBound = 3 * time.Second
	rediscoveryLater = 3
)

// play returns how many servers the request crashed before the loss of all nodes, within the bound after
// it, and later.
func (r rediscovery) play(t *testing.T) (first, again, later int) {
	ctx, cancel := context.WithCancel(t.Context())
	var background, requests sync.WaitGroup
	f := newCrashFleetOf(ctx, &background, r.seed, r.nodes, r.servers, fleetServiceTime)
	rnd := rand.New(rand.NewPCG(r.seed, 4))
	var counted reads
	start := time.Now()
	lost := start.Add(rediscoveryLoss)
	interval := time.Second / time.Duration(readsPerServer*r.servers)
	for i, restarted := 0, false; time.Since(start) < rediscoveryEnd; i++ {
		if !restarted && !time.Now().Before(lost) {
			restarted = true
			f.startNodes(ctx, &background)
			for range int(rediscoveryAbsence / interval / crashShare) {
				e, now := f.entries[rnd.IntN(len(f.entries))], f.now()
				requests.Go(func() { counted.send(ctx, e, now, crashURI) })
			}
		}
		e, now, uri := f.entries[rnd.IntN(len(f.entries))], f.now(), fmt.Sprint("/read/", i)
		if i%crashShare == 0 {
			uri = crashURI
		}
		requests.Go(func() { counted.send(ctx, e, now, uri) })
		time.Sleep(interval)
	}
	requests.Wait()
	cancel()
	background.Wait()
	afterLoss := f.crashedAfter(lost)
	later = f.crashedAfter(lost.Add(rediscoveryBound))
	return f.crashed() - afterLoss, afterLoss - later, later
}

// Guards against a crashing request that costs a large deployment servers without end after the loss of
// all nodes, as the many that it crashes at once hide the ones that prove it.
func TestRediscoveryAfterLossOfAllNodes(t *testing.T) {
	for _, r := range rediscoverySizes {
		t.Run(fmt.Sprint(r), func(t *testing.T) {
			virtualtime.Test(t, func(t *testing.T) {
				first, again, later := r.play(t)
				t.Logf("%d nodes, %d servers: %d crashed at first, %d after the loss of all nodes, %d later", r.nodes, r.servers, first, again, later)
				require.LessOrEqual(t, later, rediscoveryLater)
			})
		})
	}
}
