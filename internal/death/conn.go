package death

import "time"

// Opening is a connection that is being opened.
type Opening struct {
	detector   *Detector
	generation Generation
	startedAt  time.Time
}

// Opened records that the connection is open now.
func (o Opening) Opened() *Conn {
	d := o.detector
	d.mu.Lock()
	defer d.mu.Unlock()
	c := &Conn{detector: d, closed: make(chan struct{}), generation: o.generation, startedAt: o.startedAt, openedAt: time.Now()}
	d.open[c] = struct{}{}
	return c
}

// Conn is the record of a connection.
type Conn struct {
	detector *Detector
	// closed is closed when the connection has ended.
	closed chan struct{}
	// The mutex of the Detector protects the fields below.
	generation Generation
	// startedAt is when the node began to open the connection, and openedAt when it knew that it is open. The
	// process at the other end accepted it in between.
	startedAt, openedAt time.Time
	// endedAt is when the other side ended the connection, or zero.
	endedAt time.Time
	// busy is true while an exchange is in progress.
	busy bool
}

// Generation returns the generation of the process at the other end.
func (c *Conn) Generation() Generation {
	c.detector.mu.Lock()
	defer c.detector.mu.Unlock()
	return c.generation
}

// Stale reports whether the process at the other end is known to have died.
func (c *Conn) Stale() bool {
	c.detector.mu.Lock()
	defer c.detector.mu.Unlock()
	return c.generation != c.detector.generation
}

// SetBusy records whether an exchange is in progress.
func (c *Conn) SetBusy(busy bool) {
	c.detector.mu.Lock()
	defer c.detector.mu.Unlock()
	c.busy = busy
}

// Answered records that the process at the other end has answered a request.
func (c *Conn) Answered() {
	c.detector.mu.Lock()
	defer c.detector.mu.Unlock()
	if c.generation == c.detector.generation {
		c.detector.answered = true
	}
}

// EndedByPeer records that the other side has ended the connection.
func (c *Conn) EndedByPeer() { c.end(time.Now()) }

// Closed records that this node has closed the connection, which shows nothing about the process.
func (c *Conn) Closed() { c.end(time.Time{}) }

func (c *Conn) end(byPeer time.Time) {
	d := c.detector
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, open := d.open[c]; !open {
		return
	}
	delete(d.open, c)
	c.endedAt = byPeer
	close(c.closed)
	if byPeer.IsZero() {
		return
	}
	d.forgetEnded(byPeer)
	d.ended = append(d.ended, c)
}
