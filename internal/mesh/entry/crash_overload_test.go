package entry_test

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetdock/limpetdock/internal/virtualtime"
)

const (
	// overloadServiceTime is the mean service time of reads. Six slots then complete 20 a second, and
	// overloadReads come for each server.
	overloadServiceTime = 300 * time.Millisecond
	overloadReads       = 25
	// overloadCrashShare is one of how many requests is the crashing one.
	overloadCrashShare = 8
	// overloadEnd is when the requests end. The configuration is reloaded every overloadReload.
	overloadEnd    = 8 * time.Second
	overloadReload = 500 * time.Millisecond
	// overloadBound is how long after its third crash the request may still crash servers freely, and
	// overloadLater how many it may crash later.
	overloadBound = 3 * time.Second
	overloadLater = 3
)

var overloadLarge = flag.Bool("overload.large", false, "play overload with a crashing request at the largest size, which takes minutes")

// reload puts another configuration of the same routes in force at all entries.
func (f *crashFleet) reload() {
	next := *f.config
	next.Version++
	f.config = &next
	for _, e := range f.entries {
		v := *e.View()
		v.Config = f.config
		e.SetView(&v)
	}
}

// Guards against a crashing request that isn't recognised in an overloaded service, where each server dies with
// many requests in flight, callers repeat at once and the configuration is reloaded again and again.
func TestCrashingRequestInOverloadIsBlocked(t *testing.T) {
	sizes := overloadSizes
	if *overloadLarge {
		sizes = []rediscovery{{890, 297, 1}}
	}
	for _, r := range sizes {
		t.Run(fmt.Sprint(r), func(t *testing.T) {
			virtualtime.Test(t, func(t *testing.T) { r.overload(t) })
		})
	}
}

func (r rediscovery) overload(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	var background, requests sync.WaitGroup
	f := newCrashFleetOf(ctx, &background, r.seed, r.nodes, r.servers, overloadServiceTime)
	rnd := rand.New(rand.NewPCG(r.seed, 5))
	var popular, crashing reads
	start := time.Now()
	interval := time.Second / time.Duration(overloadReads*r.servers)
	reloaded := start
	for i := 0; time.Since(start) < overloadEnd; i++ {
		if time.Since(reloaded) >= overloadReload {
			reloaded = time.Now()
			f.reload()
		}
		e, now, uri, counted := f.entries[rnd.IntN(len(f.entries))], f.now(), fmt.Sprint("/read/", i%100), &popular
		if i%overloadCrashShare == 0 {
			uri, counted = crashURI, &crashing
		}
		requests.Go(func() {
			if !counted.send(ctx, e, now, uri) {
				counted.send(ctx, e, f.now(), uri)
			}
		})
		time.Sleep(interval)
	}
	requests.Wait()
	cancel()
	background.Wait()
	later := f.crashedAfter(f.thirdCrash().Add(overloadBound))
	t.Logf("%d nodes, %d servers: %d crashed, %d of them later; %d of %d other reads served, %d blocked", r.nodes, r.servers, f.crashed(), later, popular.ok, popular.sent, popular.block)
	require.LessOrEqual(t, later, overloadLater)
	require.Zero(t, popular.block, "other reads that are blocked")
}
