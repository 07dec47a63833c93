package contention

import "math"

// minFitRounds and maxFitRounds bound how often classes and levels are fitted in turn after a
// request. Each fit starts from the previous one, and a new request changes it the more, the
// fewer requests there are.
const minFitRounds, maxFitRounds = 2, 16

// fit fits classes and levels to the requests in the window.
func (c *Curve) fit() {
	for range min(max(windowSize/len(c.samples), minFitRounds), maxFitRounds) {
		c.fitClasses()
		c.fitLevels()
	}
	c.choose()
}

func (c *Curve) fitClasses() {
	for _, cls := range c.classes {
		cls.sum = 0
	}
	for _, r := range c.samples {
		base := r.logTime - c.levels[r.level-1].fitted
		if expected := r.class.expected(); expected > 0 {
			base = clampNear(base, expected)
		}
		r.class.sum += base
	}
	for _, cls := range c.classes {
		weight := float64(cls.count)
		if cls.reported > 0 {
			cls.sum += reportedWeight * cls.reported
			weight += reportedWeight
		}
		cls.base = cls.sum / weight
	}
}

func (c *Curve) fitLevels() {
	for i := range c.levels {
		c.levels[i].sum, c.levels[i].count = 0, 0
	}
	minLog := math.Log(float64(minBaseTime))
	for _, r := range c.samples {
		if r.class.base < minLog {
			continue
		}
		l := &c.levels[r.level-1]
		l.sum += clampNear(r.logTime-r.class.base, l.fitted)
		l.count++
	}
	c.smooth(priorWeight, func(l *level, value float64) { l.fitted = value })
	c.smooth(0, func(l *level, value float64) { l.measured = value })
}

// maxDeviation bounds how far one request moves a fit, as the logarithm of a ratio. A
// transient slowdown that began after the server's last load report makes a request take
// several times as long.
const maxDeviation = 1.0

// clampNear returns value, limited to within maxDeviation of fitted.
func clampNear(value, fitted float64) float64 {
	return min(max(value, fitted-maxDeviation), fitted+maxDeviation)
}

// block is a run of adjacent levels with one fitted value.
type block struct {
	weight, value float64
	// last is the index of its last level.
	last int
}

// emptyWeight is the weight of a level without requests, so low that the level follows its
// neighbours.
const emptyWeight = 1e-9

// smooth fits the levels by pooling adjacent violators (Ayer and others, 1955), as running
// more requests at once never makes a server faster. Each level is drawn towards the level
// below with the weight prior.
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
		c.appendBlock(block{weight: float64(l.count) + emptyWeight, value: value, last: i})
	}
	first := 0
	for _, b := range c.blocks {
		for i := first; i <= b.last; i++ {
			set(&c.levels[i], b.value-c.blocks[0].value)
		}
		first = b.last + 1
	}
}

// mean returns the mean of the logarithms of the contention factors at the level.
func (l level) mean() float64 { return l.sum / float64(l.count) }

// appendBlock appends a block and merges it with preceding blocks that have no lower value.
func (c *Curve) appendBlock(b block) {
	for n := len(c.blocks); n > 0 && c.blocks[n-1].value >= b.value; n-- {
		top := c.blocks[n-1]
		weight := top.weight + b.weight
		b.value = (top.value*top.weight + b.value*b.weight) / weight
		b.weight = weight
		c.blocks = c.blocks[:n-1]
	}
	c.blocks = append(c.blocks, b)
}

// choose sets the measured level with the highest throughput, which is the number of requests
// divided by the time that each takes, and the levels to try next.
func (c *Curve) choose() {
	initial := max(int(float64(len(c.levels))*initialShare), 1)
	c.best = 0
	score := math.Inf(-1)
	for i, l := range c.levels {
		n := i + 1
		if n > initial && l.count == 0 {
			continue
		}
		slowdown := l.fitted
		if n > c.best+1 {
			// Beyond levels that are worse only measurements count, not the assumption about
			// levels with few requests.
			slowdown = max(slowdown, l.measured)
		}
		if s := math.Log(float64(n)) - slowdown; s >= score {
			c.best, score = n, s
		}
	}
	c.trial = c.nextTrial(score)
	c.lower = c.lowerTrial()
}

// nextTrial returns the level to try next, or the best level if no other can be better. It is
// the lowest unmeasured level above the best that would have a higher throughput if it were no
// slower than the level below. Beyond a mild knee it can be several levels up.
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

// lowerTrial returns a level below the best to try, or 0 for none. While the queue is never
// empty, every request starts at the limit, and a server slowed by contention can't be
// distinguished from one with a long base service time. Running half as many for a short time
// shows the difference.
func (c *Curve) lowerTrial() int {
	half := c.best / 2
	if half == 0 || c.lower == 0 && c.levels[c.best-1].count < lowerAfter {
		return 0
	}
	count := 0
	for _, l := range c.levels[:half] {
		count += l.count
	}
	if c.lower == 0 && count > 0 || count >= lowerSamples {
		return 0
	}
	return half
}
