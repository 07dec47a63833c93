package entry_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetdock/limpetdock/internal/virtualtime"
)

const (
	// fleetLimit is what each server names as its limit, in requests per second.
	fleetLimit = 5.0
	// limitWindow is the period in which requests to a limited server are counted.
	limitWindow = 4 * time.Second
)

// mostArrivals returns the most of the arrivals that lie within limitWindow from a time on.
func mostArrivals(arrivals []time.Time, from time.Time) (most int) {
	for i, first := range arrivals {
		count := 0
		for _, at := range arrivals[i:] {
			if !first.Before(from) && at.Sub(first) < limitWindow {
				count++
			}
		}
		most = max(most, count)
	}
	return most
}

// Guards against a service whose servers all name limits below the load, and get more than these,
// serve much less, serve the least urgent requests first, or have their callers return at once.
func TestServiceWhoseServersAllNameLimits(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		const (
			duration    = 20 * time.Second
			interval    = 15 * time.Millisecond
			urgentEvery = 4
		)
		ctx, cancel := context.WithCancel(t.Context())
		var background, requests sync.WaitGroup
		f := newCrashFleet(ctx, &background, 1)
		for _, s := range f.servers {
			s.NameLimit(strconv.FormatFloat(fleetLimit, 'f', -1, 64))
		}
		time.Sleep(3 * time.Second)
		rnd := rand.New(rand.NewPCG(1, 3))
		var urgent, others reads
		from := time.Now()
		for i := 0; time.Since(from) < duration; i++ {
			e := f.entries[rnd.IntN(len(f.entries))]
			counts, uri := &others, fmt.Sprint("/read/", i)
			if i%urgentEvery == 0 {
				counts, uri = &urgent, fmt.Sprint("/urgent/", i)
			}
			now := e.Now()
			requests.Go(func() { counts.send(ctx, e, now, uri) })
			time.Sleep(interval)
		}
		requests.Wait()
		cancel()
		background.Wait()
		for _, s := range f.servers {
			require.LessOrEqual(t, float64(mostArrivals(s.Arrivals(), from)), 1.5*fleetLimit*limitWindow.Seconds()+5)
		}
		t.Logf("urgent: %d of %d served; others: %d of %d; shortest Retry-After %v, %v", urgent.ok, urgent.sent, others.ok, others.sent, urgent.shortestRetry, others.shortestRetry)
		capacity := fleetLimit * fleetServers * duration.Seconds()
		require.Greater(t, float64(urgent.ok+others.ok), 0.8*capacity)
		require.Greater(t, float64(urgent.ok)/float64(urgent.sent), 2*float64(others.ok)/float64(others.sent))
		require.GreaterOrEqual(t, others.shortestRetry, 100*time.Millisecond)
	})
}

// Guards against entries that go on sending a server what exceeds its limit, so that requests are
// refused though other servers have room.
func TestLoadMovesFromLimitedServers(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		var background, requests sync.WaitGroup
		f := newCrashFleet(ctx, &background, 1)
		for _, s := range f.servers[:2] {
			s.NameLimit("3.7")
		}
		time.Sleep(3 * time.Second)
		rnd := rand.New(rand.NewPCG(1, 4))
		var all reads
		for i := range 1000 {
			e := f.entries[rnd.IntN(len(f.entries))]
			now := e.Now()
			requests.Go(func() { all.send(ctx, e, now, fmt.Sprint("/read/", i)) })
			time.Sleep(12 * time.Millisecond)
		}
		requests.Wait()
		cancel()
		background.Wait()
		require.Greater(t, float64(all.ok), 0.99*float64(all.sent))
	})
}
