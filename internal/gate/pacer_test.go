package gate

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetdock/limpetdock/internal/kind"
	"github.com/limpetdock/limpetdock/internal/virtualtime"
)

// intervalPacer permits one request per interval.
type intervalPacer struct {
	interval time.Duration
	next     time.Time
}

func (p *intervalPacer) Permit() bool {
	if p.NextPermit() > 0 {
		return false
	}
	p.next = time.Now().Add(p.interval)
	return true
}

func (p *intervalPacer) NextPermit() time.Duration { return max(time.Until(p.next), 0) }

func (p *intervalPacer) ExpectedWait(n int) time.Duration {
	return p.NextPermit() + time.Duration(n-1)*p.interval
}

// Requests arrive faster than permits become available, while slots are free. Guards against a queue
// that isn't dispatched when the next permit becomes available.
func TestPacedRequestsStartAtThePermittedRate(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		g := newWarmGate(Limits{Slots: 8, Queue: 16})
		g.SetPacer(&intervalPacer{interval: 100 * time.Millisecond})
		var log outcomeLog
		for range 5 {
			log.send(g, t.Context(), "r", 0, 10*time.Millisecond)
		}
		time.Sleep(time.Minute)
		synctest.Wait()
		var after []time.Duration
		for _, row := range log.rows {
			after = append(after, row.after)
		}
		require.Equal(t, []time.Duration{0, 100 * time.Millisecond, 200 * time.Millisecond, 300 * time.Millisecond, 400 * time.Millisecond}, after)
	})
}

// Guards against requests that wait for permits until it is too late for another server.
func TestRequestIsRefusedAtOnceIfPermitComesTooLate(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		g := newWarmGate(Limits{Slots: 8, Queue: 16})
		p := &intervalPacer{interval: time.Second}
		g.SetPacer(p)
		require.True(t, p.Permit())
		start := time.Now()
		_, refusal := g.AcquireWithin(t.Context(), Rank{}, WaitLimits{QueueTimeout: 500 * time.Millisecond})
		require.Equal(t, kind.Overloaded, refusal.Kind)
		require.Equal(t, time.Second, refusal.Wait)
		require.Zero(t, time.Since(start))
	})
}

// Guards against an urgent request that waits behind others for the permits of a cold server.
func TestUrgentRequestGetsTheNextPermit(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		g := newWarmGate(Limits{Slots: 8, Queue: 16})
		g.SetPacer(&intervalPacer{interval: 100 * time.Millisecond})
		var log outcomeLog
		for _, name := range []string{"first", "second"} {
			log.sendRanked(g, t.Context(), name, Rank{}, 10*time.Millisecond)
		}
		log.sendRanked(g, t.Context(), "urgent", Rank{Depth: 1}, 10*time.Millisecond)
		time.Sleep(time.Second)
		synctest.Wait()
		require.Equal(t, []string{"first", "urgent", "second"}, log.names())
	})
}
