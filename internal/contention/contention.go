// Package contention learns how a backend server slows down as the number of requests that it runs
// at once grows, and derives how many it should run. It uses no clock: all decisions depend on
// samples only.
package contention

import (
	"math"
	"time"
)

const (
	// windowSize is how many of the latest requests count.
	windowSize = 256
	// priorWeight is the weight, in requests, of the assumption that a level is as fast as the
	// level below, as a single slow request can have many causes.
	priorWeight = 2.0
	// reportedWeight is the weight, in requests of each class, of the base service time that
	// other nodes report. It dominates while there are no samples at low levels.
	reportedWeight = 8.0
	// minBaseTime is the base service time below which requests show nothing about the backend
	// server: what takes a few milliseconds is mostly the connection and the node itself.
	minBaseTime = 5 * time.Millisecond
	// initialShare is the share of the slots that is used before anything has been measured.
	initialShare = 2 / 3.0
	// lowerAfter is how many requests at the best level are needed before a lower level is
	// tried, and lowerSamples how many samples end that trial.
	lowerAfter, lowerSamples = 12, 3
)

// Curve is what has been learnt about one backend server: the base service time of each class
// of requests, and the contention factor of each concurrency level, that is the ratio by which
// requests take longer with that many running at once. It models the logarithm of a service
// time as the sum of the logarithms of the two, fitted to the latest requests. The zero value
// has no slots. Not safe for concurrent use.
type Curve struct {
	levels  []level
	classes map[string]*class
	// samples is a ring buffer of the latest requests, next the index of the oldest.
	samples []request
	next    int
	// best is the level with the highest throughput, trial the highest level that may be
	// tried, and lower a level below best that is being tried; 0 means none.
	best, trial, lower int
	// blocks is scratch space of smooth.
	blocks []block
}

// request is one sample in the window.
type request struct {
	class *class
	level int
	// logTime is the logarithm of the service time in nanoseconds.
	logTime float64
	// kept counts how often it stayed in the window when it was due to be replaced.
	kept int
}

// class is a group of requests with similar service times.
type class struct {
	name  string
	count int
	// base is the logarithm of the fitted base service time, and reported that of the time
	// which other nodes report; 0 means unknown.
	base, reported float64
	sum            float64
}

// level is what was measured at one concurrency level.
type level struct {
	count int
	sum   float64
	// fitted is the logarithm of the contention factor relative to the lowest level. measured
	// is the same without the assumption of priorWeight.
	fitted, measured float64
}

// New returns a Curve of a server that runs at most slots requests at once.
func New(slots int) *Curve {
	c := &Curve{levels: make([]level, max(slots, 0)), classes: map[string]*class{}}
	c.choose()
	return c
}

// Limit returns how many requests the server should run at once.
func (c *Curve) Limit() int {
	if c.lower > 0 {
		return c.lower
	}
	return c.best
}

// TrialLimit returns the number of requests, Limit or more, up to which some may be started to
// measure higher concurrency: at most TrialLimit-Limit of them at a time.
func (c *Curve) TrialLimit() int {
	if c.lower > 0 {
		return c.lower
	}
	return c.trial
}

// ContentionFactor returns the ratio of service time to base service time of a request that is
// started as the n-th concurrent one.
func (c *Curve) ContentionFactor(n int) float64 {
	if len(c.levels) == 0 {
		return 1
	}
	return math.Exp(c.levels[min(max(n, 1), len(c.levels))-1].fitted)
}

// BaseServiceTime returns how long a request of a class takes without contention; 0 means
// unknown.
func (c *Curve) BaseServiceTime(name string) time.Duration {
	cls := c.classes[name]
	if cls == nil || cls.count == 0 {
		return 0
	}
	return time.Duration(math.Exp(cls.base))
}

// Sample is the measured service time of one request.
type Sample struct {
	// Class identifies requests with similar service times.
	Class string
	// Level is how many requests ran when it was started, including itself.
	Level int
	// ServiceTime excludes slowdowns that have other causes than contention.
	ServiceTime time.Duration
	// ReportedBaseTime is the base service time of the class that other nodes report; 0 means
	// unknown.
	ReportedBaseTime time.Duration
	// Aborted is true if the request was cut off, so that ServiceTime is only a lower bound.
	Aborted bool
}

// Learn adds the sample of a request that was served or cut off.
func (c *Curve) Learn(s Sample) {
	if s.Level < 1 || s.Level > len(c.levels) || s.ServiceTime <= 0 {
		return
	}
	cls := c.classes[s.Class]
	if cls == nil {
		cls = &class{name: s.Class}
		c.classes[s.Class] = cls
	}
	if s.ReportedBaseTime >= minBaseTime {
		cls.reported = math.Log(float64(s.ReportedBaseTime))
	}
	logTime := math.Log(float64(s.ServiceTime))
	if s.Aborted && logTime < cls.expected()+c.levels[s.Level-1].fitted {
		// A lower bound below the expected time carries no information.
		return
	}
	c.push(request{class: cls, level: s.Level, logTime: logTime})
	c.fit()
}

// expected returns the logarithm of the base service time to expect for the class; 0 means
// unknown.
func (c *class) expected() float64 {
	if c.base == 0 {
		return c.reported
	}
	return c.base
}

// push adds a request to the window, in place of the oldest if the window is full.
func (c *Curve) push(r request) {
	r.class.count++
	if len(c.samples) < windowSize {
		c.samples = append(c.samples, r)
		return
	}
	for c.keepRare(&c.samples[c.next]) {
		c.next = (c.next + 1) % windowSize
	}
	old := &c.samples[c.next]
	if old.class.count--; old.class.count == 0 {
		delete(c.classes, old.class.name)
	}
	*old = r
	c.next = (c.next + 1) % windowSize
}

const (
	// rareCount is the number of requests in the window up to which a level counts as rarely
	// used, and rareRounds how many more windows its requests are kept for.
	rareCount, rareRounds = 3, 4
)

// keepRare reports whether a request stays in the window because its level is rarely used, and
// counts how often it did.
// Without this, a level that was found to be slow would be tried again in every window, which
// slows down the requests of each trial.
func (c *Curve) keepRare(r *request) bool {
	if r.kept >= rareRounds || c.levels[r.level-1].count > rareCount {
		return false
	}
	r.kept++
	return true
}
