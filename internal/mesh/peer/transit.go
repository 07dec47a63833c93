package peer

import "time"

// transitWindow is how long the shortest transit is remembered. The clocks of two nodes drift apart by far
// less than a millisecond meanwhile.
const transitWindow = 30 * time.Second

// minTransitDelay is the shortest delay that counts. Shorter ones are within the precision of the stamps and
// of scheduling.
const minTransitDelay = 10 * time.Millisecond

// transit measures for how much longer than usual frames are on their way over a connection. The clocks
// of the two nodes have different origins, so a transit is known only up to a constant. A frame on an
// idle link shows that constant: the least difference of the clocks within the last window or two.
//
// It must be used by one goroutine.
type transit struct {
	begun             bool
	windowBegan       time.Duration
	current, previous time.Duration
}

// delay returns for how much longer than the shortest one a frame was on its way, and learns from it. sent
// and received are its times by the clocks of the sender and the receiver.
func (t *transit) delay(sent, received time.Duration) time.Duration {
	difference := received - sent
	switch {
	case !t.begun || received-t.windowBegan >= 2*transitWindow:
		t.begun, t.windowBegan = true, received
		t.current, t.previous = difference, difference
	case received-t.windowBegan >= transitWindow:
		t.windowBegan = received
		t.current, t.previous = difference, t.current
	}
	t.current = min(t.current, difference)
	delay := difference - min(t.current, t.previous)
	if delay < minTransitDelay {
		return 0
	}
	return delay
}

// transitDelay returns for how much longer than usual a frame was on its way that arrives now.
func (c *serverConn) transitDelay(sentMs uint64) time.Duration {
	if sentMs == 0 {
		return 0
	}
	return c.transit.delay(time.Duration(sentMs)*time.Millisecond, c.server.now())
}
