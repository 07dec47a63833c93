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

// leastRounds and mostRounds bound how often classes and levels are fitted to each other
// after a request. Each fit goes on from the one before, and the fewer requests there are,
// the more a new one changes.
const leastRounds, mostRounds = 2, 16

// fit fits classes and levels to the window.
func (c *Curve) fit() {
	for range min(max(window/len(c.last), leastRounds), mostRounds) {
		c.fitClasses()
		c.fitLevels()
	}
	c.choose()
}

func (c *Curve) fitClasses() {
	for _, one := range c.classes {
		one.sum = 0
	}
	for _, r := range c.last {
		alone := r.took - c.levels[r.level-1].fitted
		if known := r.class.expected(); known > 0 {
			alone = near(alone, known)
		}
		r.class.sum += alone
	}
	for _, one := range c.classes {
		weight := float64(one.count)
		if one.told > 0 {
			one.sum += toldWeight * one.told
			weight += toldWeight
		}
		one.work = one.sum / weight
	}
}

func (c *Curve) fitLevels() {
	for i := range c.levels {
		c.levels[i].sum, c.levels[i].count = 0, 0
	}
	least := math.Log(float64(leastWork))
	for _, r := range c.last {
		if r.class.work < least {
			continue
		}
		l := &c.levels[r.level-1]
		l.sum += near(r.took-r.class.work, l.fitted)
		l.count++
	}
	c.smooth(priorWeight, func(l *level, value float64) { l.fitted = value })
	c.smooth(0, func(l *level, value float64) { l.measured = value })
}

// mostOff bounds how far one request moves a fit, as the logarithm of a ratio: a pulse that
// began right after the last word on it makes a request take several times as long.
const mostOff = 1.0

// near gives a value, drawn to within mostOff of what is fitted.
func near(value, fitted float64) float64 {
	return min(max(value, fitted-mostOff), fitted+mostOff)
}

// block is a run of neighbouring levels with one fitted value.
type block struct {
	weight, value float64
	// last is the index of its last level.
	last int
}

// noWeight is that of a level without requests: it takes the value of its neighbours.
const noWeight = 1e-9

// smooth fits the levels by pooling adjacent violators (Ayer and others, 1955): a server
// never gets faster by running more. Each level is drawn to the one below by the weight
// of a prior.
func (c *Curve) smooth(prior float64, set func(*level, float64)) {
	c.blocks = c.blocks[:0]
	base := 0.0
	for i, l := range c.levels {
		if i > 0 {
			base = c.blocks[len(c.blocks)-1].value
		}
		value := base
		if l.count > 0 {
			value += (l.mean() - base) * float64(l.count) / (float64(l.count) + prior)
		}
		c.join(block{weight: float64(l.count) + noWeight, value: value, last: i})
	}
	first := 0
	for _, b := range c.blocks {
		for i := first; i <= b.last; i++ {
			set(&c.levels[i], b.value-c.blocks[0].value)
		}
		first = b.last + 1
	}
}

// mean gives the mean of the logarithms of the ratios at the level.
func (l level) mean() float64 { return l.sum / float64(l.count) }

// join adds a block behind the others and merges those that it falls below.
func (c *Curve) join(b block) {
	for n := len(c.blocks); n > 0 && c.blocks[n-1].value >= b.value; n-- {
		top := c.blocks[n-1]
		weight := top.weight + b.weight
		b.value = (top.value*top.weight + b.value*b.weight) / weight
		b.weight = weight
		c.blocks = c.blocks[:n-1]
	}
	c.blocks = append(c.blocks, b)
}

// choose finds the measured level with the most throughput, which is the number of
// requests over the time that each takes, and the next ones worth a trial.
func (c *Curve) choose() {
	start := max(int(float64(len(c.levels))*startShare), 1)
	c.best = 0
	score := math.Inf(-1)
	for i, l := range c.levels {
		n := i + 1
		if n > start && l.count == 0 {
			continue
		}
		slower := l.fitted
		if n > c.best+1 {
			// Past levels that are worse only what was measured counts, not what is
			// assumed of levels with few requests.
			slower = max(slower, l.measured)
		}
		if s := math.Log(float64(n)) - slower; s >= score {
			c.best, score = n, s
		}
	}
	c.trial = c.nextTrial(score)
	c.down = c.trialDown()
}

// nextTrial gives the level to try next, or the best if none may be better: the lowest
// above it that isn't measured and has more throughput if it is no slower than the one
// below. Behind a mild knee that can lie some levels further up.
func (c *Curve) nextTrial(score float64) int {
	if c.best == 0 {
		return 0
	}
	for n := c.best + 1; n <= len(c.levels); n++ {
		l := c.levels[n-1]
		if l.count == 0 && math.Log(float64(n))-l.measured > score {
			return n
		}
	}
	return c.best
}

// trialDown gives a level below the best to try, 0 for none. Under a standing queue every
// request starts at the limit, and a server that is slow for what runs on it looks just
// like one whose requests take so long. Run with half as many for a moment, it shows.
func (c *Curve) trialDown() int {
	half := c.best / 2
	if half == 0 || c.down == 0 && c.levels[c.best-1].count < downAfter {
		return 0
	}
	count := 0
	for _, l := range c.levels[:half] {
		count += l.count
	}
	if c.down == 0 && count > 0 || count >= downUntil {
		return 0
	}
	return half
}
