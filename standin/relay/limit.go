package main

import (
	"sync"
	"time"
)

// limiter limits the bandwidth of one link. All connections of the link, in
// both directions, share it.
type limiter struct {
	mu       sync.Mutex
	nextFree time.Time
}

// wait blocks until n bytes have passed the link.
func (l *limiter) wait(n, bytesPerSec int) {
	time.Sleep(time.Until(l.reserve(time.Now(), n, bytesPerSec)))
}

// reserve returns the time at which n bytes that are ready at now have passed
// the link, queued after all earlier reservations.
func (l *limiter) reserve(now time.Time, n, bytesPerSec int) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.nextFree.Before(now) {
		l.nextFree = now
	}
	l.nextFree = l.nextFree.Add(time.Duration(n) * time.Second / time.Duration(bytesPerSec))
	return l.nextFree
}
