// Package slowness measures how much longer requests take at a backend server than its reports and
// the base service times of its service explain. It uses no clock: the time is an argument.
package slowness

import (
	"math"
	"slices"
	"time"
)

const (
	// Threshold is the ratio up to which a server isn't slow. Service times of one route vary by a
	// third, and base service times are learned, so smaller ratios are not significant.
	Threshold = 1.5
	// endThreshold is the ratio from which a slow server no longer is, below Threshold, so that a
	// server near it doesn't begin and end to be slow with each sample.
	endThreshold = 1.25
	// maxRatio bounds the slowness, and with it how long it takes to decay: under four seconds.
	maxRatio = 16
	// window is the age, and maxSamples the number, up to which samples count; minSamples are needed.
	window     = 5 * time.Second
	maxSamples = 16
	minSamples = 6
	// halfLife is the time in which the slowness halves once there are too few samples. A slow server
	// gets few requests; without a decay it would never be tried again.
	halfLife = time.Second
)

// sample is the ratio of the time that a request took to the time expected of it.
type sample struct {
	at    time.Duration
	ratio float64
}

// Tracker holds the measured slowness of one backend server. The zero value has no samples. Not
// safe for concurrent use.
type Tracker struct {
	// samples is a ring buffer of the latest samples, next the index to write next.
	samples [maxSamples]sample
	count   int
	next    int
	// median is that of the samples that counted when there were last enough of them, at most
	// maxRatio; 0 means none. It decays from decaysFrom, when they are too few.
	median     float64
	decaysFrom time.Duration
	slow       bool
}

// Add adds the ratio of the time that a request took to the time expected of it.
func (t *Tracker) Add(now time.Duration, ratio float64) {
	t.slow = t.Slow(now)
	t.samples[t.next] = sample{at: now, ratio: ratio}
	t.next = (t.next + 1) % maxSamples
	t.count = min(t.count+1, maxSamples)
	var buffer [maxSamples]float64
	ratios := buffer[:0]
	for age := 1; age <= t.count; age++ {
		s := t.samples[(t.next-age+maxSamples)%maxSamples]
		if now-s.at >= window {
			break
		}
		ratios = append(ratios, s.ratio)
		if age == minSamples {
			t.decaysFrom = s.at + window
		}
	}
	if len(ratios) < minSamples {
		return
	}
	slices.Sort(ratios)
	// Of an even number, the lower one of the two in the middle.
	t.median = min(ratios[(len(ratios)-1)/2], maxRatio)
	if !t.slow && ratios[(len(ratios)-1)/4] <= endThreshold {
		// A slow server takes longer for nearly all requests. If service times vary by half or more,
		// the median alone often exceeds Threshold by chance.
		t.median = min(t.median, Threshold)
	}
	t.slow = t.median > Threshold || t.slow && t.median > endThreshold
}

// ratio returns the median of the samples, decayed since they became too few.
func (t *Tracker) ratio(now time.Duration) float64 {
	if t.median == 0 || now <= t.decaysFrom {
		return t.median
	}
	return t.median * math.Exp2(-float64(now-t.decaysFrom)/float64(halfLife))
}

// Factor returns the measured slowness, the factor by which requests take longer than expected. Up
// to Threshold it is 1.
func (t *Tracker) Factor(now time.Duration) float64 {
	if r := t.ratio(now); r > Threshold {
		return r
	}
	return 1
}

// Slow reports whether the server is slow. This begins at Threshold and ends at a lower ratio.
func (t *Tracker) Slow(now time.Duration) bool { return t.slow && t.ratio(now) > endThreshold }
