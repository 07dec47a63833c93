package pick

import (
	"flag"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetdock/limpetdock/fleet"
)

var seeds = flag.Int("pick.seeds", 16, "seeds of the comparison of policies")

const (
	conditionLength = 7 * time.Second
	conditionMean   = 40 * time.Millisecond
	shiftEvery      = 8 * time.Millisecond
)

// slows returns a condition that multiplies servers' service times by factor between
// two times.
func slows(factor time.Duration, from, to time.Duration, which ...int) func(*sim, []Place, uint64) {
	return func(s *sim, at []Place, _ uint64) {
		for _, i := range which {
			srv := s.servers[at[i].VM]
			s.after(from, func() { srv.service *= factor })
			s.after(to, func() { srv.service /= factor })
		}
	}
}

// neighbours is a condition that varies the service time of each server around the
// same mean.
func neighbours(s *sim, at []Place, seed uint64) {
	const most = 60 * time.Millisecond
	noise := rand.New(rand.NewPCG(seed, 5))
	var shift func()
	shift = func() {
		for _, p := range at {
			s.servers[p.VM].service = conditionMean - most/2
			s.servers[p.VM].extra = time.Duration(noise.Float64() * float64(most))
		}
		s.after(shiftEvery, shift)
	}
	shift()
}

// conditions holds the conditions of the experiments, for one region.
var conditions = map[string]func(*sim, []Place, uint64){
	"steady":     func(*sim, []Place, uint64) {},
	"slow":       slows(10, 2*time.Second, 5*time.Second, 0),
	"neighbours": neighbours,
	"lying":      slows(5, 2*time.Second, conditionLength, 0),
	"cold":       slows(10, 2*time.Second, 5*time.Second, 0, 3),
}

// slowest returns the 99.9th percentile of the response time in milliseconds, of one
// region's six servers at 70 % load with an entry beside each.
func slowest(policy string, condition func(*sim, []Place, uint64), slots int, seed uint64) float64 {
	at := places(1, 2, 3)
	s := newSim(policy, at, at)
	s.seed(seed)
	for _, p := range at {
		s.servers[p.VM].service, s.servers[p.VM].slots = conditionMean, slots
	}
	condition(s, at, seed)
	for _, e := range s.entries {
		s.load(e, simSlots/conditionMean.Seconds()*0.7, conditionLength)
	}
	s.run(conditionLength + 5*time.Second)
	slices.Sort(s.took)
	return float64(s.took[len(s.took)*999/1000]) / float64(time.Millisecond)
}

// overSeeds returns the result of slowest for every seed.
func overSeeds(policy string, condition func(*sim, []Place, uint64), slots int) []float64 {
	all := make([]float64, *seeds)
	var wg sync.WaitGroup
	for i := range all {
		wg.Go(func() { all[i] = slowest(policy, condition, slots, uint64(i+1)) })
	}
	wg.Wait()
	return all
}

func meanAndSpread(all []float64) (mean, spread float64) {
	n := float64(len(all))
	for _, v := range all {
		mean += v / n
	}
	for _, v := range all {
		spread += (v - mean) * (v - mean) / (n - 1)
	}
	return mean, math.Sqrt(spread)
}

// Interference by neighbours changes within milliseconds. Reports and averages are
// older than that, and following them makes the slowest answers slower. A server with
// a sustained slowdown must still be avoided at once. The default policy must achieve
// both: it is compared with policies that use less information.
func TestDefaultPolicyIsNoSlowerThanBaselines(t *testing.T) {
	const noise = 1.02
	baselines := []string{fleet.PolicyRandom, fleet.PolicyRoundRobin, fleet.PolicyTwoChoices}
	for name, condition := range conditions {
		floor, _ := meanAndSpread(overSeeds(fleet.PolicyRandom, condition, math.MaxInt32))
		t.Logf("%-10s without any queue    %7.1f", name, floor)
		got := map[string]float64{}
		for _, p := range append(baselines, fleet.PolicyTwoLoad, fleet.PolicyLeastLoad) {
			mean, spread := meanAndSpread(overSeeds(p, condition, simSlots))
			t.Logf("%-10s %-20s %7.1f +- %5.1f", name, p, mean, spread)
			got[p] = mean
		}
		for _, p := range baselines {
			require.Less(t, got[fleet.DefaultPolicy], noise*got[p], "%s: %s", name, p)
		}
	}
}
