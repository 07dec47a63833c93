// Package crowd learns how a backend server slows down with the number of requests that
// it runs at once, and from that how many it should run. It is pure: it knows no clock
// and decides nothing by time.
package crowd

import (
	"math"
	"time"
)

const (
	// window is how many of the last requests count.
	window = 256
	// priorWeight is the weight, in requests, of the assumption that a level is as fast
	// as the one below. A single slow request could have many reasons.
	priorWeight = 2.0
	// toldWeight is the weight, in requests of each class, of what others say that the
	// class takes. It decides while nothing was seen at low levels.
	toldWeight = 8.0
	// leastWork is the work from which its length says anything about the backend
	// server: what takes a few milliseconds is mostly connections and the node itself.
	leastWork = 5 * time.Millisecond
	// startShare is the part of the slots that is used before anything was measured.
	startShare = 2 / 3.0
	// downAfter is how many requests at the best level there must be before fewer are
	// tried, and downUntil how many end that trial.
	downAfter, downUntil = 12, 3
)

// Curve is what was learnt of one backend server: the work of each class of requests, and
// how many times as long it takes at each level, that is with so many requests running
// at once. It fits the logarithm of the time taken as the sum of the two over the last
// requests. Its zero value has no slots. Not safe for concurrent use.
type Curve struct {
	levels  []level
	classes map[string]*class
	// last are the requests of the window, next where the next one goes.
	last []request
	next int
	// best is the level with the most throughput, trial the highest that may be tried,
	// and down one below the best that is tried; 0 is none.
	best, trial, down int
	// blocks is scratch space of smooth.
	blocks []block
}

// request is one of the window.
type request struct {
	class *class
	level int
	// took is the logarithm of the time taken, in nanoseconds.
	took float64
	// rounds is how often it was kept when its turn to leave the window came.
	rounds int
}

// class is a kind of request.
type class struct {
	name  string
	count int
	// work is the logarithm of the time taken alone, told that of what others say; 0 is
	// not known.
	work, told float64
	sum        float64
}

// level is what was measured with a number of requests running at once.
type level struct {
	count int
	sum   float64
	// fitted is the logarithm of how many times as long a request takes as at the lowest
	// level, and measured the same without the assumption of priorWeight.
	fitted, measured float64
}

// New returns a Curve of a server that runs up to so many requests at once.
func New(slots int) *Curve {
	c := &Curve{levels: make([]level, max(slots, 0)), classes: map[string]*class{}}
	c.choose()
	return c
}

// Limit gives how many requests the server should run at once.
func (c *Curve) Limit() int {
	if c.down > 0 {
		return c.down
	}
	return c.best
}

// Trial gives the number of requests, Limit or more, up to which some may be started to
// learn how the server takes them: Trial-Limit of them at a time.
func (c *Curve) Trial() int {
	if c.down > 0 {
		return c.down
	}
	return c.trial
}

// Factor gives how many times as long as alone a request takes that is started as the
// n-th at the same time.
func (c *Curve) Factor(n int) float64 {
	if len(c.levels) == 0 {
		return 1
	}
	return math.Exp(c.levels[min(max(n, 1), len(c.levels))-1].fitted)
}

// Work gives how long a request of a class takes alone; 0 is not known.
func (c *Curve) Work(name string) time.Duration {
	one := c.classes[name]
	if one == nil || one.count == 0 {
		return 0
	}
	return time.Duration(math.Exp(one.work))
}

// Sample is how long one request took.
type Sample struct {
	// Class names the requests that take alike.
	Class string
	// Level is how many ran when it was started, itself counted.
	Level int
	// Took is the time taken, without what slowed the server otherwise.
	Took time.Duration
	// Told is what others say that the class takes alone; 0 is not known.
	Told time.Duration
	// AtLeast says that the request was broken off after Took.
	AtLeast bool
}

// Learn takes a request that was served or broken off.
func (c *Curve) Learn(s Sample) {
	if s.Level < 1 || s.Level > len(c.levels) || s.Took <= 0 {
		return
	}
	one := c.classes[s.Class]
	if one == nil {
		one = &class{name: s.Class}
		c.classes[s.Class] = one
	}
	if s.Told >= leastWork {
		one.told = math.Log(float64(s.Told))
	}
	took := math.Log(float64(s.Took))
	if s.AtLeast && took < one.expected()+c.levels[s.Level-1].fitted {
		// That it took longer than this was to be expected.
		return
	}
	c.push(request{class: one, level: s.Level, took: took})
	c.fit()
}

// expected gives the logarithm of the time that a request of the class takes alone; 0 is
// not known.
func (l *class) expected() float64 {
	if l.work == 0 {
		return l.told
	}
	return l.work
}

// push puts a request into the window, in place of the oldest.
func (c *Curve) push(r request) {
	r.class.count++
	if len(c.last) < window {
		c.last = append(c.last, r)
		return
	}
	for c.rare(&c.last[c.next]) {
		c.next = (c.next + 1) % window
	}
	old := &c.last[c.next]
	if old.class.count--; old.class.count == 0 {
		delete(c.classes, old.class.name)
	}
	*old = r
	c.next = (c.next + 1) % window
}

const (
	// rareCount is the number of requests up to which a level counts as seldom run, and
	// rareRounds how many more windows those are kept for.
	rareCount, rareRounds = 3, 4
)

// rare says whether a request is to stay in the window for its level, which is seldom run.
// A level that was found to be bad would else be tried again with each window, at the cost
// of the requests that it makes slow.
func (c *Curve) rare(r *request) bool {
	if r.rounds >= rareRounds || c.levels[r.level-1].count > rareCount {
		return false
	}
	r.rounds++
	return true
}
