package crowd

import "math"

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
