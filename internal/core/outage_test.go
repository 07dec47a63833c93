package core_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetdock/limpetdock/fleet"
)

// outage is a fault of a whole zone or region, as expected every other month at the
// target fleet size.
type outage struct {
	name string
	// length is the duration of the fault in simulated time.
	length time.Duration
	begin  func(w *simulation)
	end    func(w *simulation)
}

const (
	lostZone = "z1"
	// storeRegion is the region of the platform. Partitioned regions can't reach it.
	storeRegion = "r0"
)

func inZone(h *host) bool { return h.Zone == lostZone }

func outages(partitioned time.Duration) []outage {
	return []outage{
		{"a zone restarted at once", settleTime, func(w *simulation) { w.kill(inZone) }, (*simulation).restartDead},
		{"a zone lost and back", time.Minute, func(w *simulation) { w.kill(inZone) }, (*simulation).restartDead},
		{"regions parted and joined", partitioned, (*simulation).partition, (*simulation).heal},
	}
}

func (w *simulation) kill(which func(h *host) bool) {
	for _, h := range w.hosts {
		h.dead = h.dead || which(h)
	}
}

func (w *simulation) restartDead() {
	for _, h := range w.hosts {
		if h.dead {
			w.start(h)
		}
	}
}

func (w *simulation) partition() {
	regions := map[string]string{}
	for _, h := range w.hosts {
		regions[h.Zone] = h.Region
	}
	w.cut = func(a, b *host) bool { return a.Region != b.Region }
	w.down = func(zone string) bool { return regions[zone] != storeRegion }
}

func (w *simulation) heal() {
	w.cut = func(_, _ *host) bool { return false }
	w.down = func(string) bool { return false }
}

// usage is the resource usage of a period, as counted by the simulation.
type usage struct {
	took time.Duration
	// bytes and busy are per node and second; worst is the bytes per second of the node
	// that sent most.
	bytes, worst float64
	busy         time.Duration
	// reads is the maximum number of platform calls in one second by all nodes.
	reads int
}

// usageOf runs f and returns the resource usage during it.
func (w *simulation) usageOf(f func()) usage {
	start, busy := w.now, w.busy()
	before := map[*host]int{}
	for _, h := range w.hosts {
		before[h] = h.bytes
	}
	f()
	c := usage{took: w.now - start}
	each := c.took.Seconds()
	for _, h := range w.hosts {
		sent := float64(h.bytes-before[h]) / each
		c.bytes += sent / float64(len(w.hosts))
		c.worst = max(c.worst, sent)
	}
	c.busy = time.Duration(float64(w.busy()-busy) / each / float64(len(w.hosts)))
	for at := start.Truncate(time.Second); at <= w.now; at += time.Second {
		c.reads = max(c.reads, w.callsBySecond[at])
	}
	return c
}

// converged returns a condition that holds once every running node has the revision in
// force and none has a wrong view of another running node: that it is suspected or has
// an earlier incarnation.
func (w *simulation) converged(revision uint64) func() bool {
	at := 0
	return func() bool {
		if !w.inForce(revision)() {
			return false
		}
		for ; at < len(w.hosts); at++ {
			if h := w.hosts[at]; !h.dead && w.hasWrongView(h) {
				return false
			}
		}
		return true
	}
}

func (w *simulation) hasWrongView(h *host) bool {
	members := h.state.Dump(0).Members
	for _, o := range w.hosts {
		if m, known := members[o.VM]; known && !o.dead && (m.Suspected || m.Incarnation != o.Incarnation) {
			return true
		}
	}
	return false
}

// settleTime is the time within which the effects of a fault should have ended.
const settleTime = 10 * time.Second

// measure simulates an outage with a change published halfway through it, and returns
// the resource usage during and after the fault. It waits for convergence for at most
// maxWait.
func (b outage) measure(t testing.TB, f fleet.Fleet, maxWait time.Duration) (during, after usage, inForce, convergedAfter time.Duration) {
	w := newSimulation(t, f, 3)
	w.until(20*time.Second, "started", w.inForce(1))
	w.run(2 * settleTime)
	during = w.usageOf(func() {
		b.begin(w)
		w.run(b.length / 2)
		w.publish(changedFleet(f, 2, 7))
		w.run(b.length / 2)
	})
	ended := w.now
	after = w.usageOf(func() {
		b.end(w)
		inForce = w.until(10*time.Minute, "in force", w.inForce(2))
		converged := w.converged(2)
		convergedAfter = inForce + w.until(2*maxWait, "converged", func() bool { return w.now-ended > maxWait || converged() })
		w.run(max(0, settleTime-convergedAfter))
	})
	return during, after, inForce, convergedAfter
}

// Limits at the target fleet size.
const (
	controlBytes  = 4096
	platformReads = 2000
)

// A zone's power is restored, or partitioned regions reconnect, and all their nodes act
// at once. Callers in unaffected zones must not be impaired: load on the platform, the
// links and the nodes must not spike, and all nodes must converge within 30 s. The test
// checks counts and simulated time.
func TestOutageRecoveryStaysWithinLimits(t *testing.T) {
	for _, b := range outages(10 * time.Minute) {
		t.Run(b.name, func(t *testing.T) {
			const nodes, zones = 66, 11
			during, after, inForce, convergedAfter := b.measure(t, newFleet(1, zones, 11, nodes), time.Minute)
			t.Logf("during: %+v", during)
			t.Logf("after: %+v, in force after %v, converged after %v", after, inForce, convergedAfter)
			for _, c := range []usage{during, after} {
				require.Less(t, c.bytes, float64(controlBytes), "B/s of a node")
				require.Less(t, c.worst, float64(controlBytes), "B/s of the node that sends most")
				// A starting node reads the index and the VM list once each.
				require.LessOrEqual(t, c.reads, 3*nodes/zones+4*zones, "platform calls in a second")
			}
			require.LessOrEqual(t, inForce, 11*time.Second)
			require.LessOrEqual(t, convergedAfter, 30*time.Second)
		})
	}
}

// BenchmarkBadHours reports the same at sizes up to the target size. Regions are
// partitioned for an hour at the smallest size and for half a minute at the others. It
// waits for convergence for at most maxConvergenceWait.
func BenchmarkBadHours(b *testing.B) {
	for _, size := range fleetSizes {
		partitioned := 30 * time.Second
		if size.targets == fleetSizes[0].targets {
			partitioned = time.Hour
		}
		for _, o := range outages(partitioned) {
			b.Run(o.name+"/"+size.name, func(b *testing.B) {
				for b.Loop() {
					o.report(b, newFleet(1, size.zones, size.services, size.targets))
				}
			})
		}
	}
}

const maxConvergenceWait = 45 * time.Second

func (b outage) report(on *testing.B, f fleet.Fleet) {
	during, after, inForce, convergedAfter := b.measure(on, f, maxConvergenceWait)
	on.ReportMetric(during.bytes, "B/node-second")
	on.ReportMetric(after.bytes, "after-B/node-second")
	on.ReportMetric(during.worst, "worst-B/second")
	on.ReportMetric(after.worst, "after-worst-B/second")
	on.ReportMetric(float64(max(during.busy, after.busy).Microseconds()), "us/node-second")
	on.ReportMetric(float64(max(during.reads, after.reads)), "calls/worst-second")
	on.ReportMetric(inForce.Seconds(), "s-in-force")
	on.ReportMetric(convergedAfter.Seconds(), "s-to-agree")
}
