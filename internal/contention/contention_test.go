package contention_test

import (
	"math"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/limpetdock/limpetdock/internal/contention"
)

// server simulates a backend server that slows down beyond some number of requests.
type server struct {
	slots      int
	knee       int
	kneeFactor float64
	// slope is added to the contention factor for each further request beyond the knee.
	slope float64
}

func (s server) factor(n int) float64 {
	if n <= s.knee {
		return 1
	}
	return s.kneeFactor + s.slope*float64(n-s.knee-1)
}

// best returns the number of requests with the highest throughput.
func (s server) best() int {
	best := 1
	for n := 1; n <= s.slots; n++ {
		if float64(n)/s.factor(n) >= float64(best)/s.factor(best) {
			best = n
		}
	}
	return best
}

// spread is the standard deviation of the logarithm of the service times of one class.
const spread = 0.3

// baseTimes are the mean base service times of three classes: 50, 200 and 400 ms.
var baseTimes = []time.Duration{50 * time.Millisecond, 200 * time.Millisecond, 400 * time.Millisecond}

// sample draws a request of a random class at level n with the given contention factor.
func sample(rnd *rand.Rand, n int, factor float64) contention.Sample {
	i := rnd.IntN(len(baseTimes))
	serviceTime := float64(baseTimes[i]) * factor * math.Exp(spread*rnd.NormFloat64())
	return contention.Sample{Class: strconv.Itoa(i), Level: n, ServiceTime: time.Duration(serviceTime)}
}

// exactSample returns a request of one class at level n that takes exactly factor times the
// reported base service time.
func exactSample(n int, factor float64) contention.Sample {
	return contention.Sample{Class: "a", Level: n, ServiceTime: time.Duration(factor * float64(baseTimes[1])), ReportedBaseTime: baseTimes[1]}
}

// drive feeds the curve with requests at random levels up to what the curve allows, and
// returns the throughput reached, relative to the best possible.
func drive(c *contention.Curve, s server, rnd *rand.Rand, requests int) float64 {
	reached := 0.0
	for range requests {
		n := 1 + rnd.IntN(c.Limit())
		if rnd.IntN(3) == 0 {
			n = c.Limit() + rnd.IntN(c.TrialLimit()-c.Limit()+1)
		}
		reached += float64(c.Limit()) / s.factor(c.Limit())
		c.Learn(sample(rnd, n, s.factor(n)))
	}
	return reached / float64(requests) / (float64(s.best()) / s.factor(s.best()))
}

// Backend servers differ in where and how much they slow down. After a few hundred requests
// the limit must yield nearly the throughput of the best fixed limit, wherever the knee is.
func TestLimitNearBestForAnyKnee(t *testing.T) {
	for name, s := range map[string]server{
		"none":             {slots: 9, knee: 9, kneeFactor: 1},
		"late and mild":    {slots: 9, knee: 7, kneeFactor: 1.7},
		"early and hard":   {slots: 9, knee: 4, kneeFactor: 3},
		"very early":       {slots: 9, knee: 2, kneeFactor: 4},
		"early and mild":   {slots: 9, knee: 4, kneeFactor: 1.7},
		"few slots":        {slots: 3, knee: 2, kneeFactor: 2},
		"one slot":         {slots: 1, knee: 1, kneeFactor: 1},
		"many slots":       {slots: 30, knee: 15, kneeFactor: 3},
		"many slots, none": {slots: 30, knee: 30, kneeFactor: 1},
		"a slope":          {slots: 30, knee: 10, kneeFactor: 1.2, slope: 0.3},
	} {
		t.Run(name, func(t *testing.T) {
			worst := 1.0
			for seed := range uint64(5) {
				rnd := rand.New(rand.NewPCG(seed, 1))
				c := contention.New(s.slots)
				drive(c, s, rnd, 40*s.slots)
				worst = min(worst, drive(c, s, rnd, 40*s.slots))
			}
			t.Logf("worst of 5 seeds: %.2f of the best throughput", worst)
			require.Greater(t, worst, 0.85)
		})
	}
}

// A server is moved to a smaller machine while its node runs, and later back to the former
// one. The limit must go down and up again.
func TestLimitFollowsServerDownAndUp(t *testing.T) {
	rnd := rand.New(rand.NewPCG(3, 3))
	c := contention.New(9)
	late, early := server{slots: 9, knee: 7, kneeFactor: 1.7}, server{slots: 9, knee: 4, kneeFactor: 3}
	drive(c, late, rnd, 300)
	require.Equal(t, 7, c.Limit())
	drive(c, early, rnd, 400)
	require.Equal(t, 4, c.Limit())
	drive(c, late, rnd, 2500)
	require.GreaterOrEqual(t, c.Limit(), 6)
}

// A server slows down as a whole, for a reason that it doesn't report. That must not lower the
// limit for good.
func TestUniformSlowdownKeepsLimit(t *testing.T) {
	rnd := rand.New(rand.NewPCG(4, 4))
	c := contention.New(9)
	s := server{slots: 9, knee: 7, kneeFactor: 1.7}
	drive(c, s, rnd, 300)
	for range 400 {
		n := 1 + rnd.IntN(c.Limit())
		c.Learn(sample(rnd, n, 4*s.factor(n)))
	}
	require.GreaterOrEqual(t, c.Limit(), 6)
}

// Sampling starts during an overload of a server with an early knee: every request starts with
// all slots in use, so that the service time under contention looks like the base service
// time. The trial of a lower level must reveal the knee.
func TestLimitRecoversFromSustainedOverload(t *testing.T) {
	rnd := rand.New(rand.NewPCG(5, 5))
	s := server{slots: 9, knee: 4, kneeFactor: 3}
	c := contention.New(9)
	for n := 5; n <= 9; n++ {
		c.Learn(exactSample(n, 1))
	}
	for range 1000 {
		n := c.Limit()
		c.Learn(sample(rnd, n, s.factor(n)))
	}
	require.Equal(t, 4, c.Limit())
}

// Before anything has been measured, two thirds of the slots are used and one more request is
// tried at a time, so that the first burst doesn't overload a server with an early knee.
func TestLimitStartsLowAndRisesOneByOne(t *testing.T) {
	c := contention.New(12)
	require.Equal(t, 8, c.Limit())
	require.Equal(t, 9, c.TrialLimit())
	for _, n := range []int{4, 8, 9} {
		c.Learn(exactSample(n, 1))
	}
	require.Equal(t, 9, c.Limit())
	require.Equal(t, 10, c.TrialLimit())
	c.Learn(exactSample(10, 3))
	require.Equal(t, 9, c.Limit(), "one slow request must keep the limit from rising further at once")
	for range 12 {
		c.Learn(exactSample(10, 1))
	}
	require.Equal(t, 10, c.Limit(), "further requests showed that there is no knee")
}

func TestInvalidSamplesAreIgnored(t *testing.T) {
	c := contention.New(3)
	for _, serviceTime := range []time.Duration{0, -1} {
		c.Learn(contention.Sample{Class: "a", Level: 1, ServiceTime: serviceTime})
	}
	c.Learn(exactSample(0, 1))
	c.Learn(exactSample(4, 1))
	require.Equal(t, contention.New(3).Limit(), c.Limit())
	require.Zero(t, contention.New(0).Limit())
	require.InDelta(t, 1, contention.New(0).ContentionFactor(2), 0)
}

// For any samples, the fitted curve must never fall and the limits must stay within the slots.
func TestCurveIsMonotonicAndWithinSlots(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 40).Draw(t, "slots")
		c := contention.New(slots)
		for range rapid.IntRange(0, 200).Draw(t, "requests") {
			c.Learn(contention.Sample{
				Class:            rapid.SampledFrom([]string{"a", "b"}).Draw(t, "class"),
				Level:            rapid.IntRange(0, slots+1).Draw(t, "level"),
				ServiceTime:      time.Duration(rapid.Int64Range(-1, 1e10).Draw(t, "took")),
				ReportedBaseTime: time.Duration(rapid.Int64Range(0, 1e10).Draw(t, "told")),
				Aborted:          rapid.Bool().Draw(t, "at least"),
			})
			require.GreaterOrEqual(t, c.Limit(), 1)
			require.GreaterOrEqual(t, c.TrialLimit(), c.Limit())
			require.LessOrEqual(t, c.TrialLimit(), slots)
			for n := 2; n <= slots; n++ {
				require.GreaterOrEqual(t, c.ContentionFactor(n), c.ContentionFactor(n-1))
			}
		}
	})
}

func BenchmarkLearn(b *testing.B) {
	c := contention.New(30)
	for i := range b.N {
		c.Learn(exactSample(1+i%30, 1.1))
	}
}
