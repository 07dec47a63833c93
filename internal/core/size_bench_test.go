package core_test

import (
	"runtime"
	"testing"
	"time"
)

// fleetSizes are three fleet sizes; the last is the target size.
var fleetSizes = []struct {
	name            string
	zones, services int
	targets         int
}{{"66", 11, 11, 66}, {"220", 11, 15, 220}, {"885", 11, 59, 59 * 15}}

// BenchmarkStateSize reports the memory used by one node's tables and view at each of
// fleetSizes, including the fake platform's documents.
func BenchmarkStateSize(b *testing.B) {
	for _, size := range fleetSizes {
		b.Run(size.name, func(b *testing.B) {
			for b.Loop() {
				before := heap()
				w := newSimulation(b, newFleet(1, size.zones, size.services, size.targets), 1)
				w.hosts = w.hosts[:1]
				h := w.hosts[0]
				w.until(20*time.Second, "started", func() bool { return h.view != nil })
				b.ReportMetric(float64(heap()-before), "B-held")
				runtime.KeepAlive(w)
			}
		})
	}
}

func heap() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkIdleFleet reports the gossip bytes and the tick time per node and second of
// an idle fleet at three sizes.
func BenchmarkIdleFleet(b *testing.B) {
	for _, size := range fleetSizes {
		b.Run(size.name, func(b *testing.B) {
			w := newSimulation(b, newFleet(1, size.zones, size.services, size.targets), 1)
			w.until(20*time.Second, "started", w.inForce(1))
			w.run(10 * time.Second)
			before, busy := w.bytes, w.busy()
			seconds := 0
			for b.Loop() {
				w.run(time.Second)
				seconds++
			}
			each := float64(seconds) * float64(size.targets)
			b.ReportMetric(float64(w.bytes-before)/each, "B/node-second")
			b.ReportMetric(float64((w.busy()-busy).Microseconds())/each, "us/node-second")
		})
	}
}

// BenchmarkChangeBySize reports the time until a change is in force on every node, in
// simulated time, not real time.
func BenchmarkChangeBySize(b *testing.B) {
	for _, size := range fleetSizes {
		b.Run(size.name, func(b *testing.B) {
			for b.Loop() {
				took := timeToApplyChange(b, newFleet(1, size.zones, size.services, size.targets))
				b.ReportMetric(took.Seconds(), "s-in-force")
			}
		})
	}
}

// busy returns the total real time of all nodes' ticks.
func (w *simulation) busy() (sum time.Duration) {
	for _, h := range w.hosts {
		sum += h.busy
	}
	return sum
}
