package peer

import (
	"encoding/binary"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/limpetdock/limpetdock/internal/mesh/egress"
	"github.com/limpetdock/limpetdock/internal/sockopt"
)

const (
	// pieceBytes is the largest piece of a frame, and wholeFrameBytes the largest frame that isn't
	// sent in pieces.
	pieceBytes      = 8 << 10
	wholeFrameBytes = 16 << 10
	// piecePrefixSize is the size of the prefix of a piece with the type of the whole frame and the
	// mark of the last piece.
	piecePrefixSize = prefixSize + 2
	// DefaultQueueBytes is how many bytes may wait on all connections unless it is configured.
	DefaultQueueBytes = 32 << 20
	// minUnsent and unsentTime bound the bytes of a connection that the kernel may hold unsent while
	// the link is scheduled: those that the link sends in unsentTime. What it holds for a peer that
	// doesn't read counts as sent by the link, so it takes a part of it from other connections.
	minUnsent  = 32 << 10
	unsentTime = 20 * time.Millisecond
	// timerSlack is how much too late the timer may be set for, so that it isn't set again for every
	// frame.
	timerSlack = 100 * time.Microsecond
	// backlogPrecision is the precision of the reported backlog, so that not every frame causes a
	// load report.
	backlogPrecision = 10 * time.Millisecond
)

// Uplink schedules what a node sends to other nodes over all its connections, by the rate of its
// link. Until it is enabled, each connection sends its frames in the order in which they come. Safe
// for concurrent use.
type Uplink struct {
	rate       float64
	queueBytes int
	enabled    atomic.Bool
	// incomplete counts the bytes received of frames that aren't complete, on all connections.
	incomplete atomic.Int64
	refused    atomic.Uint64
	// mu is held before the mutex of a writer.
	mu        sync.Mutex
	scheduler *egress.Scheduler
	// origin is the time from which the Scheduler counts.
	origin time.Time
	// timer hands over frames when the link has sent others; nil until it is first needed. It is
	// set for timerAt, or 0 if it isn't set.
	timer   *time.Timer
	timerAt time.Duration
}

// NewUplink returns the Uplink of a node whose link has a rate in bytes per second; 0 is unknown.
// queueBytes is how many bytes may wait on all connections before Full is true, and how many
// received ones may be part of frames that aren't complete.
func NewUplink(rate float64, queueBytes int) *Uplink {
	return &Uplink{
		rate: rate, queueBytes: queueBytes, origin: time.Now(),
		scheduler: egress.New(egress.Config{
			Rate: rate, ConnLimit: maxQueued, QueueLimit: queueBytes, PieceBytes: pieceBytes, FrameBytes: wholeFrameBytes,
			PrefixBytes: prefixSize, PiecePrefixBytes: piecePrefixSize,
		}),
	}
}

// SetEnabled turns the scheduling on or off. Frames that wait when it is turned off are written
// before those that come later.
func (u *Uplink) SetEnabled(enabled bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	enabled = enabled && u.rate > 0
	if enabled == u.enabled.Load() {
		return
	}
	u.scheduler.SetPaced(enabled)
	if enabled {
		u.enabled.Store(true)
		u.switchWriters(true, u.maxUnsent())
		return
	}
	u.handOver(time.Now())
	u.switchWriters(false, 0)
	u.enabled.Store(false)
}

// switchWriters makes all writers send through the Uplink only, or not. While it runs, enabled is
// true, so that writers wait for u.mu and don't try again and again.
func (u *Uplink) switchWriters(scheduled bool, unsent int) {
	for _, owner := range u.scheduler.Owners() {
		w := owner.(*writer)
		w.setScheduled(scheduled)
		sockopt.LimitUnsent(w.conn, unsent)
	}
}

// maxUnsent returns how many bytes of a connection the kernel may hold unsent.
func (u *Uplink) maxUnsent() int { return max(minUnsent, int(u.rate*unsentTime.Seconds())) }

// on reports whether frames are scheduled.
func (u *Uplink) on() bool { return u != nil && u.enabled.Load() }

// Load returns the rate of the link and the time that the waiting bytes need, as load reports give
// them. Both are 0 while the Uplink isn't enabled.
func (u *Uplink) Load() (rate float64, backlog time.Duration) {
	if !u.on() {
		return 0, 0
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.rate, u.scheduler.Backlog().Round(backlogPrecision)
}

// Full reports whether more bytes wait than may on all connections. wait is the time until as many
// have been sent that it isn't.
func (u *Uplink) Full() (wait time.Duration, full bool) {
	if !u.on() {
		return 0, false
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	if !u.scheduler.Full() {
		return 0, false
	}
	allowed := time.Duration(float64(u.queueBytes) / u.rate * float64(time.Second))
	return max(u.scheduler.Backlog()-allowed, 0), true
}

// CountRefusal counts a request that was refused because the Uplink is full.
func (u *Uplink) CountRefusal() { u.refused.Add(1) }

// UplinkState is the state of an Uplink.
type UplinkState struct {
	Enabled bool
	// Rate is the configured rate in bytes per second, and Backlog the time that waiting bytes need.
	Rate    float64
	Backlog time.Duration
	egress.Stats
	// IncompleteBytes were received of frames that aren't complete, and Refused counts the requests
	// that were refused because too many bytes wait.
	IncompleteBytes int64
	Refused         uint64
}

// State returns the present state.
func (u *Uplink) State() UplinkState {
	u.mu.Lock()
	defer u.mu.Unlock()
	s := UplinkState{Enabled: u.enabled.Load(), Rate: u.rate, Stats: u.scheduler.Stats(), IncompleteBytes: u.incomplete.Load(), Refused: u.refused.Load()}
	if u.rate > 0 {
		s.Backlog = u.scheduler.Backlog()
	}
	return s
}

// add registers a writer.
func (u *Uplink) add(w *writer) *egress.Conn {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.enabled.Load() {
		w.setScheduled(true)
		sockopt.LimitUnsent(w.conn, u.maxUnsent())
	}
	return u.scheduler.Add(w)
}

// remove drops the frames of a writer that is closed.
func (u *Uplink) remove(w *writer) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.scheduler.Remove(w.flow)
}

// acceptPieces records that the peer of a writer accepts frames in pieces.
func (u *Uplink) acceptPieces(w *writer) {
	u.mu.Lock()
	defer u.mu.Unlock()
	w.flow.AcceptPieces()
}

// enqueue queues a frame and hands over what may be written. It returns the frame's expected offset.
func (u *Uplink) enqueue(w *writer, frame []byte, priority int) (offset uint64, err error) {
	u.mu.Lock()
	if !u.enabled.Load() {
		u.mu.Unlock()
		return 0, errSwitched
	}
	offset, err = u.schedule(w, frame, priority)
	u.mu.Unlock()
	if err != nil {
		w.close()
	}
	return offset, err
}

// schedule queues a frame and hands over what may be written. u.mu must be held.
func (u *Uplink) schedule(w *writer, frame []byte, priority int) (uint64, error) {
	total, closed := w.progress()
	if closed {
		return 0, net.ErrClosed
	}
	f := scheduledFrame(frame, priority)
	ahead, ok := u.scheduler.Enqueue(w.flow, f)
	if !ok {
		return 0, errQueueFull
	}
	now := time.Now()
	if f.Outcome && w.delivery != nil {
		w.delivery.noteWaiting(now)
	}
	u.handOver(now)
	return total + uint64(ahead), nil
}

// scheduledFrame returns a frame as the Scheduler sees it.
func scheduledFrame(frame []byte, priority int) egress.Frame {
	f := egress.Frame{Data: frame, Stream: binary.BigEndian.Uint32(frame[5:]), Class: egress.Small, Priority: priority}
	t := frameType(frame[4])
	f.Outcome = t.isOutcome()
	switch {
	case t.isControl():
		f.Class = egress.Control
	case len(frame) > egress.SmallBytes:
		f.Class = egress.Bulk
	}
	return f
}

// isControl reports whether frames of the type are small and keep others from working as long as
// they wait.
func (t frameType) isControl() bool {
	switch t {
	case frameHello, frameCancel, frameLoad, framePing, framePong, frameReady, frameProceed, frameStateQuery:
		return true
	}
	return false
}

// isOutcome reports whether frames of the type carry the outcome of a request.
func (t frameType) isOutcome() bool { return t == frameAnswer || t == frameRefusal }

// handOver passes to the writers what may be written now. u.mu must be held.
func (u *Uplink) handOver(now time.Time) {
	elapsed := now.Sub(u.origin)
	for {
		h, wait, ok := u.scheduler.Next(elapsed)
		if ok {
			h.Conn.Owner.(*writer).accept(h, now)
			continue
		}
		if wait > 0 {
			u.setTimer(elapsed+wait, wait)
		}
		return
	}
}

// setTimer makes handOver run at a time unless it runs about then anyway.
func (u *Uplink) setTimer(at, wait time.Duration) {
	if u.timerAt != 0 && u.timerAt <= at+timerSlack {
		return
	}
	u.timerAt = at
	if u.timer == nil {
		u.timer = time.AfterFunc(wait, u.timeout)
		return
	}
	u.timer.Reset(wait)
}

func (u *Uplink) timeout() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.timerAt = 0
	u.handOver(time.Now())
}

// written records that a writer has written bytes that were handed over.
func (u *Uplink) written(w *writer, bytes int64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	blocked := u.scheduler.Blocked(w.flow)
	u.scheduler.Written(w.flow, int(bytes))
	if blocked && w.flow.Waiting() > 0 {
		u.handOver(time.Now())
	}
}

// cancel drops what waits of a stream.
func (u *Uplink) cancel(w *writer, stream uint32) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if n := u.scheduler.Cancel(w.flow, stream); n > 0 && w.delivery != nil {
		w.delivery.noteDropped(n)
	}
}

// holds reports whether frames of a writer wait for the link, and not for its peer to read.
func (u *Uplink) holds(w *writer) bool {
	if !u.on() {
		return false
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	return w.flow.Waiting() > 0 && !u.scheduler.Blocked(w.flow)
}
