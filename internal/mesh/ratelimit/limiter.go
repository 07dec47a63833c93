// Package ratelimit limits the requests to one backend server to the rate that it names itself. It
// reads no clock: times are passed in as durations since the node's start.
package ratelimit

import (
	"sync"
	"time"

	"golang.org/x/time/rate"
)

const (
	// burstTime is the time in which the permits accumulate that may be used at once, and maxBurst
	// bounds their number: the limit may fall to 0 right after they are used.
	burstTime = 500 * time.Millisecond
	maxBurst  = 4
	// MaxInterval is the longest time between two permits that is reported, also if there are none.
	MaxInterval = 4 * time.Second
)

// epoch is the time of the bucket's clock at the node's start.
var epoch = time.Unix(0, 0)

func at(now time.Duration) time.Time { return epoch.Add(now) }

// Limiter is a token bucket whose rate changes. The zero value has no limit. Safe for concurrent use.
type Limiter struct {
	mu     sync.Mutex
	bucket *rate.Limiter
}

// SetLimit sets the limit in requests per second, and reports whether it changed. 0 permits none. A
// limit after none starts without permits, as requests were sent just before.
func (l *Limiter) SetLimit(perSecond float64, now time.Duration) (changed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	burst := min(max(int(perSecond*burstTime.Seconds()), 1), maxBurst)
	if l.bucket == nil {
		l.bucket = rate.NewLimiter(rate.Limit(perSecond), burst)
		l.bucket.AllowN(at(now), burst)
		return true
	}
	if l.bucket.Limit() == rate.Limit(perSecond) {
		return false
	}
	l.bucket.SetLimitAt(at(now), rate.Limit(perSecond))
	l.bucket.SetBurstAt(at(now), burst)
	return true
}

// Lift removes the limit, and reports whether there was one.
func (l *Limiter) Lift() (changed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	changed = l.bucket != nil
	l.bucket = nil
	return changed
}

// Limit returns the limit in requests per second; limited is false if there is none.
func (l *Limiter) Limit() (perSecond float64, limited bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.bucket == nil {
		return 0, false
	}
	return float64(l.bucket.Limit()), true
}

// Ready reports whether there is a permit.
func (l *Limiter) Ready(now time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.bucket == nil || l.bucket.TokensAt(at(now)) >= 1
}

// Take takes a permit for one request that is sent now, if there is one.
func (l *Limiter) Take(now time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.bucket != nil {
		l.bucket.AllowN(at(now), 1)
	}
}

// Interval returns the time between two permits, at most MaxInterval; 0 means that there is no limit.
func (l *Limiter) Interval() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.interval(1)
}

// interval returns the time in which a number of permits accumulates. The mutex must be held.
func (l *Limiter) interval(permits float64) time.Duration {
	if l.bucket == nil || permits <= 0 {
		return 0
	}
	seconds := permits / float64(l.bucket.Limit())
	if seconds >= MaxInterval.Seconds() {
		return MaxInterval
	}
	return time.Duration(seconds * float64(time.Second))
}

// NextPermit returns the time until there is a permit, at most MaxInterval, if no other request
// takes it.
func (l *Limiter) NextPermit(now time.Duration) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.bucket == nil {
		return 0
	}
	missing := 1 - l.bucket.TokensAt(at(now))
	if missing <= 0 {
		return 0
	}
	// Rounded up, as there would be no permit yet a moment too early.
	return min(l.interval(missing)+time.Millisecond, MaxInterval)
}
