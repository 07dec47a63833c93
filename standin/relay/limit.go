package main

import (
	"sync"
	"time"
)

// limiter spaces out the bytes of one link: its connections and both directions share
// the bandwidth.
type limiter struct {
	mu   sync.Mutex
	free time.Time
}

// wait waits until bytes have gone over the link.
func (l *limiter) wait(n, bytesPerSec int) {
	time.Sleep(time.Until(l.reserve(time.Now(), n, bytesPerSec)))
}

// reserve gives when bytes that are ready now have gone over the link, after those
// that were ready before them.
func (l *limiter) reserve(now time.Time, n, bytesPerSec int) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.free.Before(now) {
		l.free = now
	}
	l.free = l.free.Add(time.Duration(n) * time.Second / time.Duration(bytesPerSec))
	return l.free
}
