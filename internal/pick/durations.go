package pick

import (
	"math/bits"
	"sync/atomic"
	"time"
)

const (
	// subBuckets is how many buckets there are to a doubling: a quantile is read
	// at most an eighth too high.
	subBits    = 3
	subBuckets = 1 << subBits
	// maxMicros is the longest duration that is told apart, over a quarter of an hour.
	maxMicros       = 1<<30 - 1
	durationBuckets = (30 - subBits + 1) * subBuckets
	// generation is how many samples a generation takes. A quantile is read from the
	// current one and the one before, so it speaks of the last 256 to 512 samples.
	generation = 256
	// recountEvery is how many samples pass between two readings of the quantile.
	recountEvery = 32
	// enoughSamples is how many there must be for a high quantile to mean anything.
	enoughSamples = 64
	// tailShare is the share of samples, 1/tailShare, above the quantile read: p95.
	tailShare = 20
)

// durations keeps the 95th percentile of recent samples. It is a histogram of
// two generations with buckets that grow with the value, as HdrHistogram's do.
// Safe for concurrent use and without locks: a sample that races with the start of
// a generation may be lost, which changes nothing that matters. The zero value
// is empty.
type durations struct {
	taken  atomic.Uint32
	p95    atomic.Int64
	counts [2][durationBuckets]atomic.Uint32
}

// add takes one sample.
func (d *durations) add(took time.Duration) {
	n := d.taken.Add(1)
	counts := &d.counts[(n-1)/generation%2]
	if (n-1)%generation == 0 {
		for i := range counts {
			counts[i].Store(0)
		}
	}
	counts[bucketOf(took)].Add(1)
	if n%recountEvery == 0 {
		d.recount()
	}
}

// high gives the 95th percentile, or 0 while there are too few samples.
func (d *durations) high() time.Duration { return time.Duration(d.p95.Load()) }

func (d *durations) recount() {
	total := uint32(0)
	for i := range durationBuckets {
		total += d.counts[0][i].Load() + d.counts[1][i].Load()
	}
	if total < enoughSamples {
		return
	}
	above := uint32(0)
	for i := durationBuckets - 1; i >= 0; i-- {
		above += d.counts[0][i].Load() + d.counts[1][i].Load()
		if above > total/tailShare {
			d.p95.Store(int64(upperEdge(i)))
			return
		}
	}
}

// bucketOf gives the bucket of a duration. Below subBuckets microseconds each
// has one of its own.
func bucketOf(took time.Duration) int {
	v := uint64(min(max(took.Microseconds(), 0), maxMicros))
	shift := max(bits.Len64(v)-subBits-1, 0)
	return shift*subBuckets + int(v>>shift)
}

// upperEdge gives the least duration above a bucket.
func upperEdge(bucket int) time.Duration {
	if bucket < 2*subBuckets {
		return time.Duration(bucket+1) * time.Microsecond
	}
	shift := bucket/subBuckets - 1
	return time.Duration((bucket%subBuckets+subBuckets+1)<<shift) * time.Microsecond
}
