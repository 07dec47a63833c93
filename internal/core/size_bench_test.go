package core_test

import (
	"runtime"
	"testing"
	"time"
)

// fleetSizes are three sizes of a fleet, the one to design for last.
var fleetSizes = []struct {
	name            string
	zones, services int
	targets         int
}{{"66", 11, 11, 66}, {"220", 11, 15, 220}, {"885", 11, 59, 59 * 15}}

// BenchmarkStateSize reports the memory that one node's tables and view take at
// two sizes, the target size among them, the fake platform's documents included.
func BenchmarkStateSize(b *testing.B) {
	for _, size := range fleetSizes {
		b.Run(size.name, func(b *testing.B) {
			for b.Loop() {
				before := heap()
				w := newWorld(b, aFleet(1, size.zones, size.services, size.targets), 1)
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

// BenchmarkIdleFleet reports what a second with nothing going on costs each
// node at three sizes: bytes of news, and time of its ticks.
func BenchmarkIdleFleet(b *testing.B) {
	for _, size := range fleetSizes {
		b.Run(size.name, func(b *testing.B) {
			w := newWorld(b, aFleet(1, size.zones, size.services, size.targets), 1)
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

// BenchmarkChangeBySize reports how long a change takes until it is in force at
// every node, in the time of the world, not the machine's.
func BenchmarkChangeBySize(b *testing.B) {
	for _, size := range fleetSizes {
		b.Run(size.name, func(b *testing.B) {
			for b.Loop() {
				took := changeInForce(b, aFleet(1, size.zones, size.services, size.targets))
				b.ReportMetric(took.Seconds(), "s-in-force")
			}
		})
	}
}

// busy is how long the ticks of all nodes took.
func (w *world) busy() (sum time.Duration) {
	for _, h := range w.hosts {
		sum += h.busy
	}
	return sum
}
