package pick

import (
	"math/bits"
	"sync/atomic"
	"time"
)

const (
	// subBuckets is the number of buckets for each power of two, so that a quantile
	// is at most an eighth too high.
	subBits    = 3
	subBuckets = 1 << subBits
	// maxMicros is the longest duration with a bucket of its own, over a quarter of
	// an hour.
	maxMicros       = 1<<30 - 1
	durationBuckets = (30 - subBits + 1) * subBuckets
	// generation is the number of samples in a generation. A quantile is computed
	// from the current and the previous one, so it covers the last 256 to 512 samples.
	generation = 256
	// updateEvery is the number of samples between two updates of the quantile.
	updateEvery = 32
	// minSamples is the number of samples needed for a reliable high quantile.
	minSamples = 64
	// tailShare is the inverse of the share of samples above the quantile: p95.
	tailShare = 20
)

// durations computes the 95th percentile of recent samples. It is a histogram of
// two generations with buckets that grow with the value, like HdrHistogram's. It is
// lock-free and safe for concurrent use. A sample that races with the start of a
// generation may be lost, which changes the percentile only slightly. The zero
// value is empty.
type durations struct {
	samples atomic.Uint32
	p95     atomic.Int64
	counts  [2][durationBuckets]atomic.Uint32
}

// add records one sample.
func (d *durations) add(took time.Duration) {
	n := d.samples.Add(1)
	counts := &d.counts[(n-1)/generation%2]
	if (n-1)%generation == 0 {
		for i := range counts {
			counts[i].Store(0)
		}
	}
	counts[bucketOf(took)].Add(1)
	if n%updateEvery == 0 {
		d.updatePercentile()
	}
}

// percentile95 returns the 95th percentile, or 0 while there are too few samples.
func (d *durations) percentile95() time.Duration { return time.Duration(d.p95.Load()) }

func (d *durations) updatePercentile() {
	total := uint32(0)
	for i := range durationBuckets {
		total += d.counts[0][i].Load() + d.counts[1][i].Load()
	}
	if total < minSamples {
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

// bucketOf returns the bucket of a duration. Below subBuckets microseconds each
// microsecond has its own bucket.
func bucketOf(took time.Duration) int {
	v := uint64(min(max(took.Microseconds(), 0), maxMicros))
	shift := max(bits.Len64(v)-subBits-1, 0)
	return shift*subBuckets + int(v>>shift)
}

// upperEdge returns the least duration above a bucket.
func upperEdge(bucket int) time.Duration {
	if bucket < 2*subBuckets {
		return time.Duration(bucket+1) * time.Microsecond
	}
	shift := bucket/subBuckets - 1
	return time.Duration((bucket%subBuckets+subBuckets+1)<<shift) * time.Microsecond
}
