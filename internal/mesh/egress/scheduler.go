// Package egress decides in which order the frames of a node go to the other nodes. All
// connections of the node share its link, so one Scheduler serves all of them. It has neither a
// clock nor a network: times are arguments, and the caller writes what it is handed.
package egress

import (
	"time"
)

// Class is the class of a frame. A lower class goes first.
type Class uint8

// The classes.
const (
	// Control frames are a few dozen bytes. They don't wait for the link.
	Control Class = iota
	// Small frames go before bulk frames.
	Small
	// Bulk frames share what the others leave.
	Bulk
	// Classes is the number of classes.
	Classes
)

// SmallBytes is the largest size of a small frame, with its prefix.
const SmallBytes = 4 << 10

const (
	// window is the time within which the link sends what is handed over at once. A small frame
	// waits that long behind bytes that can't be taken back.
	window = 8 * time.Millisecond
	// bulkShare is the share of the window that bulk frames use. The rest is for small frames, so
	// that they don't wait for a timer while bulk frames keep the window full.
	bulkShare = 7.0 / 8
	// minPiece bounds the cost per byte of pieces on very slow links.
	minPiece = 1 << 10
	// highestWeight is the share of priority 0 in units of that of priority 2. Each priority below
	// has half of the one above it.
	highestWeight = 4
)

// Config are the parameters of a Scheduler.
type Config struct {
	// Rate is the rate of the link in bytes per second.
	Rate float64
	// ConnLimit bounds the bytes of a connection that wait or are handed over and not yet
	// written; QueueLimit is how many bytes may wait on all connections before Full is true.
	ConnLimit, QueueLimit int
	// PieceBytes is the largest piece of a bulk frame, and FrameBytes the size from which on a
	// frame goes in pieces with a prefix of their own, so that other frames can go between them.
	PieceBytes, FrameBytes int
	// PrefixBytes is the size of a frame's prefix, and PiecePrefixBytes that of a piece.
	PrefixBytes, PiecePrefixBytes int
}

// Frame is an encoded frame.
type Frame struct {
	Data []byte
	// Stream is the stream that it belongs to, and Class its class.
	Stream uint32
	Class  Class
	// Priority is that of the request; it matters to bulk frames only.
	Priority int
	// Outcome is true if the frame carries the outcome of a request.
	Outcome bool
}

// Handover is a frame, or a part of one, that is to be written now.
type Handover struct {
	Conn *Conn
	// Frame is the whole frame, and Data what is to be written of it.
	Frame Frame
	Data  []byte
	// Piece is true if Data needs a prefix of its own, and Last if it is the end of the frame.
	Piece, Last bool
}

// Scheduler decides which frame goes next. It must not be used by several goroutines at a time.
type Scheduler struct {
	config Config
	// limit and bulkLimit are the bytes that may be handed over and not yet sent by the link, and
	// piece is the size of a part of a bulk frame.
	limit, bulkLimit float64
	piece            int
	// onLink is how many of the bytes handed over the link has yet to send, as of updatedAt.
	onLink    float64
	updatedAt time.Duration
	// unpaced lifts the limits: everything goes at once.
	unpaced bool
	conns   map[*Conn]struct{}
	// urgent are the connections with control or small frames that wait, and bulk the streams with
	// bulk frames.
	urgent ring[*Conn]
	bulk   ring[*stream]
	stats  Stats
}

// Stats are counts of bytes by class, unless said otherwise.
type Stats struct {
	// Waiting bytes aren't handed over yet; Sent ones are.
	Waiting [Classes]int
	Sent    [Classes]uint64
	// Dropped bytes waited when their stream was cancelled or their connection closed.
	Dropped uint64
	// Pieces counts the pieces of frames, not their bytes.
	Pieces uint64
}

// Total returns the waiting bytes of all classes.
func (s *Stats) Total() (bytes int) {
	for _, n := range s.Waiting {
		bytes += n
	}
	return bytes
}

// Conn is a connection. All of its fields belong to the Scheduler, except Owner.
type Conn struct {
	// Owner is the caller's own value for the connection.
	Owner any
	// pieces is true if the peer accepts frames in pieces.
	pieces bool
	closed bool
	// waiting and unwritten are the bytes that wait, and those that were handed over and not yet
	// written. A connection with a window of unwritten bytes is blocked.
	waiting, unwritten int
	control, small     ring[Frame]
	streams            map[uint32]*stream
	// partial is the stream of whose first frame a part without a prefix was handed over. Until
	// the frame ends, nothing else may be written to the connection.
	partial *stream
	queued  bool
}

// stream holds the bulk frames of a stream that wait.
type stream struct {
	conn   *Conn
	id     uint32
	frames ring[Frame]
	// offset is how much of the first frame was handed over, and pieces whether it goes in pieces.
	offset int
	pieces bool
	weight int
	// deficit is how many bytes the stream may send in its turn, which has begun if inTurn is true.
	deficit int
	inTurn  bool
}

// New returns a Scheduler.
func New(c Config) *Scheduler {
	limit := c.Rate * window.Seconds()
	s := &Scheduler{config: c, limit: limit, bulkLimit: bulkShare * limit, conns: map[*Conn]struct{}{}}
	// With two pieces in the window, the next one is handed over while the link sends the last.
	s.piece = min(max(int(s.bulkLimit/2), minPiece), c.PieceBytes)
	return s
}

// Add returns a new connection.
func (s *Scheduler) Add(owner any) *Conn {
	c := &Conn{Owner: owner, streams: map[uint32]*stream{}}
	s.conns[c] = struct{}{}
	return c
}

// Owners returns the owners of all connections.
func (s *Scheduler) Owners() []any {
	list := make([]any, 0, len(s.conns))
	for c := range s.conns {
		list = append(list, c.Owner)
	}
	return list
}

// AcceptPieces records that the peer accepts frames in pieces.
func (c *Conn) AcceptPieces() { c.pieces = true }

// Waiting returns how many bytes wait.
func (c *Conn) Waiting() int { return c.waiting }

// Blocked reports whether the connection takes no more bytes until the peer has read some.
func (s *Scheduler) Blocked(c *Conn) bool { return float64(c.unwritten) >= s.limit }

// Stats returns the present counts.
func (s *Scheduler) Stats() Stats { return s.stats }

// Full reports whether more bytes wait than the limit for all connections.
func (s *Scheduler) Full() bool { return s.stats.Total() > s.config.QueueLimit }

// Backlog returns the time that the link needs for the bytes that wait.
func (s *Scheduler) Backlog() time.Duration { return s.timeFor(float64(s.stats.Total())) }

func (s *Scheduler) timeFor(bytes float64) time.Duration {
	return time.Duration(bytes / s.config.Rate * float64(time.Second))
}

// SetPaced turns the limits on or off. Without them, Next hands over everything that waits, and
// the bytes that connections haven't written don't count. What was handed over without limits may
// belong to peers that don't read, so it doesn't count as on the link either.
func (s *Scheduler) SetPaced(paced bool) {
	s.unpaced, s.onLink = !paced, 0
	for c := range s.conns {
		c.unwritten = 0
	}
}

// Enqueue queues a frame. It returns false if that would exceed the connection's limit. ahead is
// how many bytes will be written to the connection before the frame if nothing else is queued on it.
func (s *Scheduler) Enqueue(c *Conn, f Frame) (ahead int, ok bool) {
	if c.closed || c.waiting+c.unwritten+len(f.Data) > s.config.ConnLimit {
		return 0, false
	}
	ahead = c.ahead(f.Class)
	c.waiting += len(f.Data)
	s.stats.Waiting[f.Class] += len(f.Data)
	switch f.Class {
	case Control:
		c.control.push(f)
	case Small:
		c.small.push(f)
	default:
		s.enqueueBulk(c, f)
		return ahead, true
	}
	if !c.queued {
		c.queued = true
		s.urgent.push(c)
	}
	return ahead, true
}

func (s *Scheduler) enqueueBulk(c *Conn, f Frame) {
	t := c.streams[f.Stream]
	if t == nil {
		t = &stream{conn: c, id: f.Stream, weight: max(highestWeight>>max(f.Priority, 0), 1)}
		c.streams[f.Stream] = t
		s.bulk.push(t)
	}
	t.frames.push(f)
}

// ahead returns how many bytes of the connection will be written before a frame of a class.
func (c *Conn) ahead(class Class) (bytes int) {
	if c.partial != nil {
		bytes = len(c.partial.frames.front().Data) - c.partial.offset
	}
	if class == Bulk {
		return c.waiting
	}
	for i := range c.control.len() {
		bytes += len(c.control.at(i).Data)
	}
	for i := 0; class == Small && i < c.small.len(); i++ {
		bytes += len(c.small.at(i).Data)
	}
	return bytes
}

// Written records that bytes of a connection were written.
func (s *Scheduler) Written(c *Conn, bytes int) { c.unwritten = max(c.unwritten-bytes, 0) }

// Cancel drops what waits of a stream, and returns how many outcomes of requests were dropped. A
// frame of which a part without a prefix was handed over is sent to its end.
func (s *Scheduler) Cancel(c *Conn, id uint32) (outcomes int) {
	drop := func(f Frame, bytes int) {
		c.waiting -= bytes
		s.stats.Waiting[f.Class] -= bytes
		s.stats.Dropped += uint64(bytes)
		if f.Outcome {
			outcomes++
		}
	}
	c.small.remove(func(f Frame) bool {
		if f.Stream == id {
			drop(f, len(f.Data))
		}
		return f.Stream == id
	})
	t := c.streams[id]
	if t == nil {
		return outcomes
	}
	keep := 0
	if c.partial == t {
		keep = 1
	}
	for i := keep; i < t.frames.len(); i++ {
		f := t.frames.at(i)
		bytes := len(f.Data)
		if i == 0 {
			bytes -= t.offset
		}
		drop(f, bytes)
	}
	t.frames.truncate(keep)
	if keep == 0 {
		s.removeStream(t)
	}
	return outcomes
}

func (s *Scheduler) removeStream(t *stream) {
	delete(t.conn.streams, t.id)
	s.bulk.remove(func(other *stream) bool { return other == t })
}

// Remove drops what waits on a connection that is closed.
func (s *Scheduler) Remove(c *Conn) {
	if c.closed {
		return
	}
	c.closed = true
	delete(s.conns, c)
	s.stats.Dropped += uint64(c.waiting)
	for i := range c.control.len() {
		s.stats.Waiting[Control] -= len(c.control.at(i).Data)
	}
	for i := range c.small.len() {
		s.stats.Waiting[Small] -= len(c.small.at(i).Data)
	}
	for _, t := range c.streams {
		for i := range t.frames.len() {
			s.stats.Waiting[Bulk] -= len(t.frames.at(i).Data)
		}
		s.stats.Waiting[Bulk] += t.offset
	}
	s.urgent.remove(func(other *Conn) bool { return other == c })
	s.bulk.remove(func(t *stream) bool { return t.conn == c })
	c.control, c.small, c.streams, c.partial, c.waiting = ring[Frame]{}, ring[Frame]{}, nil, nil, 0
}

// Next returns what is to be written at now. If ok is false, nothing may be written; wait is then
// the time after which something may be, or 0 if that depends on a frame or on a peer that reads.
func (s *Scheduler) Next(now time.Duration) (h Handover, wait time.Duration, ok bool) {
	s.onLink = max(s.onLink-s.config.Rate*(now-s.updatedAt).Seconds(), 0)
	s.updatedAt = now
	if h, ok = s.nextControl(); ok {
		return h, 0, true
	}
	if h, wait, ok = s.nextSmall(); ok || wait > 0 {
		return h, wait, ok
	}
	return s.nextBulk()
}

// nextControl returns a control frame that may be written. One waits only if its connection is
// blocked or in the middle of a frame.
func (s *Scheduler) nextControl() (Handover, bool) {
	if s.stats.Waiting[Control] == 0 {
		return Handover{}, false
	}
	for range s.urgent.len() {
		c := s.urgent.front()
		if c.control.len() == 0 || c.partial != nil || !s.mayWrite(c) {
			s.urgent.rotate()
			continue
		}
		f := c.control.pop()
		s.rotateUrgent(c)
		return s.handOver(c, f, f.Data, false, true), true
	}
	return Handover{}, false
}

// nextSmall returns a small frame that may be written, or a part of the bulk frame that such a
// frame has to wait for because its connection is in the middle of it.
func (s *Scheduler) nextSmall() (h Handover, wait time.Duration, ok bool) {
	for range s.urgent.len() {
		c := s.urgent.front()
		if !s.mayWrite(c) {
			s.urgent.rotate()
			continue
		}
		if c.control.len()+c.small.len() == 0 {
			// Its small frames were cancelled.
			s.rotateUrgent(c)
			continue
		}
		if t := c.partial; t != nil {
			if wait = s.waitFor(s.nextSize(t), s.limit); wait > 0 {
				return Handover{}, wait, false
			}
			s.urgent.rotate()
			return s.handOverPart(t), 0, true
		}
		if c.small.len() == 0 {
			s.urgent.rotate()
			continue
		}
		if wait = s.waitFor(len(c.small.front().Data), s.limit); wait > 0 {
			return Handover{}, wait, false
		}
		f := c.small.pop()
		s.rotateUrgent(c)
		return s.handOver(c, f, f.Data, false, true), 0, true
	}
	return Handover{}, 0, false
}

// rotateUrgent moves the first urgent connection, c, to the end, or removes it if it has no more
// frames.
func (s *Scheduler) rotateUrgent(c *Conn) {
	if c.control.len()+c.small.len() > 0 {
		s.urgent.rotate()
		return
	}
	c.queued = false
	s.urgent.pop()
}

// nextBulk returns a part of a bulk frame by deficit round robin. In its turn, a stream may send
// its weight times the largest part, so a turn always sends something.
func (s *Scheduler) nextBulk() (h Handover, wait time.Duration, ok bool) {
	for range 2 * s.bulk.len() {
		t := s.bulk.front()
		if !s.mayWrite(t.conn) || t.conn.partial != nil && t.conn.partial != t {
			s.endTurn(t)
			continue
		}
		if !t.inTurn {
			t.inTurn = true
			// What a blocked connection left of its turns is kept up to that of one turn, or the
			// stream would take the link for as long once its peer reads fast.
			turn := t.weight * (s.piece + s.config.PiecePrefixBytes)
			t.deficit = min(t.deficit, turn) + turn
		}
		size := s.nextSize(t)
		if size > t.deficit {
			s.endTurn(t)
			continue
		}
		if wait = s.waitFor(size, s.bulkLimit); wait > 0 {
			return Handover{}, wait, false
		}
		t.deficit -= size
		return s.handOverPart(t), 0, true
	}
	return Handover{}, 0, false
}

// endTurn ends the turn of the first stream, t.
func (s *Scheduler) endTurn(t *stream) {
	t.inTurn = false
	s.bulk.rotate()
}

func (s *Scheduler) mayWrite(c *Conn) bool { return s.unpaced || !s.Blocked(c) }

// waitFor returns the time until bytes may be handed over. More than the limit may be if nothing
// else is on the link.
func (s *Scheduler) waitFor(bytes int, limit float64) time.Duration {
	excess := s.onLink - max(limit-float64(bytes), 0)
	if s.unpaced || excess <= 0 {
		return 0
	}
	return max(s.timeFor(excess), time.Microsecond)
}

// goesInPieces reports whether the first frame of a stream goes in pieces.
func (s *Scheduler) goesInPieces(t *stream) bool {
	if t.offset > 0 {
		return t.pieces
	}
	return t.conn.pieces && len(t.frames.front().Data) > s.config.FrameBytes
}

// nextSize returns the size of the next part of a stream's first frame.
func (s *Scheduler) nextSize(t *stream) int {
	rest := len(t.frames.front().Data) - t.offset
	if !s.goesInPieces(t) {
		return min(rest, s.piece)
	}
	if t.offset == 0 {
		rest -= s.config.PrefixBytes
	}
	return min(rest, s.piece) + s.config.PiecePrefixBytes
}

// handOverPart hands over the next part of a stream's first frame.
func (s *Scheduler) handOverPart(t *stream) Handover {
	c, f := t.conn, t.frames.front()
	start, pieces := t.offset, s.goesInPieces(t)
	t.pieces = pieces
	if pieces && start == 0 {
		// The prefix of the piece replaces that of the frame.
		start = s.config.PrefixBytes
		c.waiting -= start
		s.stats.Waiting[Bulk] -= start
	}
	end := min(start+s.piece, len(f.Data))
	t.offset = end
	last := end == len(f.Data)
	if !pieces {
		c.partial = t
	}
	if last {
		c.partial, t.offset = nil, 0
		t.frames.pop()
		if t.frames.len() == 0 {
			s.removeStream(t)
		}
	}
	return s.handOver(c, f, f.Data[start:end], pieces, last)
}

func (s *Scheduler) handOver(c *Conn, f Frame, data []byte, piece, last bool) Handover {
	c.waiting -= len(data)
	s.stats.Waiting[f.Class] -= len(data)
	bytes := len(data)
	if piece {
		bytes += s.config.PiecePrefixBytes
		s.stats.Pieces++
	}
	c.unwritten += bytes
	s.onLink += float64(bytes)
	s.stats.Sent[f.Class] += uint64(bytes)
	return Handover{Conn: c, Frame: f, Data: data, Piece: piece, Last: last}
}
