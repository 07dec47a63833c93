package virtualtime_test

import (
	"sync"
	"testing"
	"time"

	"github.com/limpetdock/limpetdock/internal/virtualtime"
)

// Guards against a crash of the race detector, which ends all tests of a package, when many timers of a
// bubble are due at the same time.
func TestManyTimersDueAtOnce(t *testing.T) {
	const goroutines, rounds, bubbles = 200, 100, 3
	for range bubbles {
		virtualtime.Test(t, func(*testing.T) {
			var running sync.WaitGroup
			for range goroutines {
				running.Go(func() { receiveFromTimers(rounds) })
			}
			running.Wait()
			time.Sleep(time.Second)
		})
	}
}

// receiveFromTimers waits for timers, and starts goroutines by timers, that are due when those of other goroutines are.
func receiveFromTimers(rounds int) {
	const interval = 10 * time.Millisecond
	timer := time.NewTimer(time.Hour)
	for range rounds {
		timer.Reset(interval)
		select {
		case <-timer.C:
		case <-time.After(time.Hour):
		}
		time.Sleep(interval)
		time.AfterFunc(0, func() { time.Sleep(interval) })
	}
}
