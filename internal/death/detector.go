// Package death finds out whether the process of a backend server has died when an exchange with it
// breaks off. A guard uses one Detector for the backend server beside it.
//
// A refused connection proves a death, but a proxy or a supervisor that goes on listening hides it. So
// a Detector also watches the connections that are open: a process that dies ends all of them at
// once, while a single broken exchange leaves the others open.
package death

import (
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// settleTime is the time in which all connections to a process end when it dies, also through a
	// proxy.
	settleTime = 50 * time.Millisecond
	// dialTimeout bounds opening a connection on the node's own VM.
	dialTimeout = 200 * time.Millisecond
	// closeTimeout is the time in which a proxy closes a connection that it can't pass on.
	closeTimeout = 20 * time.Millisecond
)

// Generation counts the deaths of the backend server's process. A connection belongs to the generation
// in which it was opened and ends with that generation's process, so all requests in flight at a death
// report the same generation, and no later request does.
type Generation uint64

// Detector watches the connections to one backend server. Safe for concurrent use.
type Detector struct {
	addr   string
	dialed atomic.Uint64

	mu         sync.Mutex
	generation Generation
	// answered is true once the process of the present generation has answered anything.
	answered bool
	open     map[*Conn]struct{}
	// ended are the connections that the other side ended within settleTime, the oldest first.
	ended []*Conn
}

// NewDetector returns a Detector for the backend server at addr.
func NewDetector(addr string) *Detector {
	return &Detector{addr: addr, open: map[*Conn]struct{}{}}
}

// Dialed returns how many connections the Detector itself has opened.
func (d *Detector) Dialed() uint64 { return d.dialed.Load() }

// Generation returns the present generation.
func (d *Detector) Generation() Generation {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.generation
}

// Opening records that a connection is being opened from now on, to the process of the present generation or of a
// later one.
func (d *Detector) Opening() Opening {
	return Opening{detector: d, generation: d.Generation(), startedAt: time.Now()}
}

// forgetEnded drops connections that ended longer than settleTime before now. The mutex must be held.
func (d *Detector) forgetEnded(now time.Time) {
	for len(d.ended) > 0 && now.Sub(d.ended[0].endedAt) > settleTime {
		d.ended = d.ended[1:]
	}
}

// Investigate finds out whether the process has died that an exchange was made with. The exchange broke
// off on c, after the request was sent.
func (d *Detector) Investigate(ctx context.Context, c *Conn) Finding {
	if c.Stale() {
		return Noticed
	}
	others := d.others(c)
	finding, listener := d.examineOthers(ctx, others), none
	// New connections are expensive for a loaded server, so they are the last resort.
	switch finding {
	case none:
		listener = d.examineListener(ctx)
		finding = listener
	case idleContinue:
		// The end of idle connections may become visible late.
		finding = OthersContinue
		listener = d.examineListener(ctx)
		if listener == Refused {
			finding = Refused
		}
	case AllEnded:
		// A process that ends accepts connections until its listener is closed, which may be last. A
		// request sent on one would seem to be in flight at another death.
		listener = d.examineListener(ctx)
	}
	if finding == ClosesNew && !d.hasAnswered() {
		return Unanswered
	}
	if listener == Accepts {
		return d.conclude(c, finding, others.diedBy)
	}
	return d.conclude(c, finding, noNextProcess())
}

// InvestigateBehindIntermediary finds out whether the process has died when an intermediary answered an
// exchange in its place. The intermediary keeps its connections, so only a further request shows that. serves
// sends one and reports whether the process, and not the intermediary, has answered or may do so.
func (d *Detector) InvestigateBehindIntermediary(c *Conn, serves func() bool) Finding {
	switch {
	case c.Stale():
		return Noticed
	case serves():
		return Accepts
	case !d.hasAnswered():
		return Unanswered
	}
	return d.conclude(c, Unserved, noNextProcess())
}

// hasAnswered reports whether the process of the present generation has answered anything. What listens
// for a dead one also ends all connections, to which no request was passed on.
func (d *Detector) hasAnswered() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.answered
}

// noNextProcess returns the time from which connections may lead to the next process if none does yet.
func noNextProcess() time.Time { return time.Now() }

// conclude records a death that is proven and returns the finding. Connections that were begun after nextFrom
// lead to the next process.
func (d *Detector) conclude(c *Conn, finding Finding, nextFrom time.Time) Finding {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case c.generation != d.generation:
		return Noticed
	case !finding.Died():
		return finding
	}
	d.generation++
	d.answered = false
	for other := range d.open {
		if other.startedAt.After(nextFrom) {
			// It was opened before the death was noticed.
			other.generation = d.generation
		}
	}
	return finding
}

// otherConns are the connections to the process that an exchange broke off with.
type otherConns struct {
	// open are those that are open, and were so when the first one ended.
	open []*Conn
	// ended is true if the other side has ended any, apart from that of the exchange.
	ended bool
	// diedBy is when the first one ended, and so the process if it has died.
	diedBy time.Time
}

// others returns the connections to the same process as c.
func (d *Detector) others(c *Conn) otherConns {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	o := otherConns{diedBy: now}
	d.forgetEnded(now)
	for _, other := range d.ended {
		if other.generation != c.generation || other.endedAt.Before(c.openedAt) {
			continue
		}
		o.ended = o.ended || other != c
		if other.endedAt.Before(o.diedBy) {
			o.diedBy = other.endedAt
		}
	}
	for other := range d.open {
		if other != c && other.generation == c.generation && other.openedAt.Before(o.diedBy) {
			o.open = append(o.open, other)
		}
	}
	return o
}

// examineOthers waits for the end of the connections that are open.
func (d *Detector) examineOthers(ctx context.Context, others otherConns) Finding {
	timer := time.NewTimer(settleTime)
	defer timer.Stop()
	for _, other := range others.open {
		select {
		case <-other.closed:
		case <-timer.C:
			return d.continues(others.open)
		case <-ctx.Done():
			return OthersContinue
		}
	}
	if (others.ended || d.anyEndedByPeer(others.open)) && d.hasAnswered() {
		return AllEnded
	}
	return none
}

// continues returns the finding that some connections are still open.
func (d *Detector) continues(conns []*Conn) Finding {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, c := range conns {
		if _, open := d.open[c]; open && c.busy {
			return OthersContinue
		}
	}
	return idleContinue
}

func (d *Detector) anyEndedByPeer(conns []*Conn) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, c := range conns {
		if !c.endedAt.IsZero() {
			return true
		}
	}
	return false
}

// examineListener opens a connection to find out whether something serves it.
func (d *Detector) examineListener(ctx context.Context) Finding {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", d.addr)
	if errors.Is(err, syscall.ECONNREFUSED) {
		return Refused
	}
	if err != nil {
		return NoConnection
	}
	d.dialed.Add(1)
	// The connection was only opened to see what becomes of it.
	defer func() { _ = conn.Close() }()
	if conn.SetReadDeadline(time.Now().Add(closeTimeout)) != nil {
		return Accepts
	}
	_, err = conn.Read(make([]byte, 1))
	if err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		return Accepts
	}
	return ClosesNew
}
