package egress_test

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/limpetdock/limpetdock/internal/mesh/egress"
)

// rate is that of a link of 13 Mbit/s in bytes per second.
const rate = 13e6 / 8

const (
	prefix      = 9
	piecePrefix = 11
)

func newScheduler() *egress.Scheduler {
	return egress.New(egress.Config{
		Rate: rate, ConnLimit: 1 << 20, QueueLimit: 2 << 20, PieceBytes: 8 << 10, FrameBytes: 16 << 10, PrefixBytes: prefix, PiecePrefixBytes: piecePrefix,
	})
}

func answer(stream uint32, size, priority int) egress.Frame {
	f := egress.Frame{Data: make([]byte, size), Stream: stream, Class: egress.Small, Priority: priority, Outcome: true}
	if size > egress.SmallBytes {
		f.Class = egress.Bulk
	}
	return f
}

// link sends what a Scheduler hands over in virtual time. Peers read at once.
type link struct {
	*egress.Scheduler
	now, freeAt time.Duration
	sent        func(h egress.Handover, at time.Duration)
}

// run runs until nothing waits or a time has come.
func (l *link) run(until time.Duration) {
	for l.now < until {
		h, wait, ok := l.Next(l.now)
		switch {
		case ok:
			size := len(h.Data)
			if h.Piece {
				size += piecePrefix
			}
			l.freeAt = max(l.freeAt, l.now) + time.Duration(float64(size)/rate*float64(time.Second))
			l.Written(h.Conn, size)
			l.sent(h, l.freeAt)
		case wait == 0:
			return
		default:
			l.now += wait
		}
	}
}

// Guards against small urgent answers that wait for a large one that came before them: with and
// without the scheduling, on the same connection and another one, to peers that accept pieces and not.
func TestSmallAnswerOvertakesLargeOne(t *testing.T) {
	for _, c := range []struct {
		paced, same, pieces bool
		others              int
		min, max            time.Duration
	}{
		{false, true, true, 0, 300 * time.Millisecond, 400 * time.Millisecond},
		{true, true, true, 0, 0, 9 * time.Millisecond},
		{true, false, true, 0, 0, 9 * time.Millisecond},
		{true, false, false, 0, 0, 9 * time.Millisecond},
		{true, false, true, 20, 0, 9 * time.Millisecond},
		// A frame that isn't in pieces can't be interrupted. Other connections don't lengthen it further.
		{true, true, false, 0, 300 * time.Millisecond, 400 * time.Millisecond},
		{true, true, false, 20, 300 * time.Millisecond, 450 * time.Millisecond},
	} {
		t.Run(fmt.Sprintf("paced=%t,same=%t,pieces=%t,others=%d", c.paced, c.same, c.pieces, c.others), func(t *testing.T) {
			l := &link{Scheduler: newScheduler()}
			l.SetPaced(c.paced)
			large := l.Add(nil)
			small := large
			if !c.same {
				small = l.Add(nil)
			}
			if c.pieces {
				large.AcceptPieces()
			}
			var took time.Duration
			const arrival = 5 * time.Millisecond
			l.sent = func(h egress.Handover, at time.Duration) {
				if h.Frame.Stream == 2 {
					took = at - arrival
				}
			}
			_, ok := l.Enqueue(large, answer(1, 540<<10, 2))
			require.True(t, ok)
			for range c.others {
				_, ok := l.Enqueue(l.Add(nil), answer(1, 540<<10, 2))
				require.True(t, ok)
			}
			l.run(arrival)
			l.now = arrival
			_, ok = l.Enqueue(small, answer(2, 400, 0))
			require.True(t, ok)
			l.run(time.Minute)
			t.Logf("the small answer took %s", took)
			require.GreaterOrEqual(t, took, c.min)
			require.LessOrEqual(t, took, c.max)
		})
	}
}

// Guards against bulk streams whose share of the link doesn't follow their priority.
func TestBulkStreamsShareByPriority(t *testing.T) {
	l := &link{Scheduler: newScheduler()}
	var sent [4]int
	l.sent = func(h egress.Handover, _ time.Duration) { sent[h.Frame.Stream] += len(h.Data) }
	for priority := range 4 {
		c := l.Add(nil)
		c.AcceptPieces()
		_, ok := l.Enqueue(c, answer(uint32(priority), 900<<10, priority))
		require.True(t, ok)
	}
	l.run(time.Second)
	total := 0
	for _, n := range sent {
		total += n
	}
	require.InEpsilon(t, rate, total, 0.02, "the link is used whole")
	for priority, weight := range []float64{4, 2, 1, 1} {
		require.InEpsilon(t, weight/8, float64(sent[priority])/float64(total), 0.1, "%v", sent)
	}
}

// Guards against a connection of a peer that doesn't read which takes a part of the link from others,
// or is handed more than a window.
func TestBlockedConnectionHoldsNoPartOfTheLink(t *testing.T) {
	s := newScheduler()
	blocked, other := s.Add("blocked"), s.Add("other")
	for _, c := range []*egress.Conn{blocked, other} {
		c.AcceptPieces()
		for stream := range uint32(4) {
			_, ok := s.Enqueue(c, answer(stream, 200<<10, 2))
			require.True(t, ok)
		}
		_, ok := s.Enqueue(c, answer(9, 100, 2))
		require.True(t, ok)
	}
	var sent [2]int
	for now := time.Duration(0); now < 200*time.Millisecond; now += time.Millisecond {
		for {
			h, _, ok := s.Next(now)
			if !ok {
				break
			}
			if h.Conn == other {
				sent[1] += len(h.Data)
				s.Written(other, len(h.Data)+piecePrefix)
			} else {
				sent[0] += len(h.Data)
			}
		}
	}
	require.LessOrEqual(t, sent[0], 25_000)
	require.Greater(t, sent[1], int(0.9*rate/5)-25_000)
}

// Guards against memory that grows without a bound, for a peer that doesn't read or one that is gone.
func TestWaitingBytesAreBounded(t *testing.T) {
	s := newScheduler()
	var conns []*egress.Conn
	for range 3 {
		c := s.Add(nil)
		conns = append(conns, c)
		accepted := 0
		for stream := range uint32(100) {
			if _, ok := s.Enqueue(c, answer(stream, 100<<10, 2)); ok {
				accepted++
			}
		}
		require.Equal(t, 10, accepted, "1 MB for each connection")
	}
	require.True(t, s.Full(), "2 MB for all")
	require.InDelta(t, 3000<<10/float64(rate), s.Backlog().Seconds(), 0.001)
	for _, c := range conns {
		s.Remove(c)
	}
	stats := s.Stats()
	require.Zero(t, stats.Total())
	require.EqualValues(t, 3000<<10, stats.Dropped)
	_, wait, ok := s.Next(time.Hour)
	require.False(t, ok)
	require.Zero(t, wait)
}

// Guards against a cancelled request whose answer goes on taking the link, and against the loss of
// another one's answer, or of the rest of a frame that the peer can only read whole.
func TestCancelledStreamIsDropped(t *testing.T) {
	for _, pieces := range []bool{true, false} {
		l := &link{Scheduler: newScheduler()}
		c := l.Add(nil)
		if pieces {
			c.AcceptPieces()
		}
		sent := map[uint32]int{}
		l.sent = func(h egress.Handover, _ time.Duration) { sent[h.Frame.Stream] += len(h.Data) }
		for stream := range uint32(3) {
			_, ok := l.Enqueue(c, answer(stream, 100<<10, 2))
			require.True(t, ok)
		}
		_, ok := l.Enqueue(c, answer(1, 1000, 2))
		require.True(t, ok)
		l.run(20 * time.Millisecond)
		dropped := l.Cancel(c, 0) + l.Cancel(c, 1)
		l.run(time.Minute)
		require.Positive(t, sent[0])
		if pieces {
			require.Less(t, sent[0], 50<<10)
			require.Equal(t, 2, dropped)
		} else {
			require.Equal(t, 100<<10, sent[0], "a part of the frame was sent")
			require.Equal(t, 1000, sent[1], "the small answer, before it was cancelled")
			require.Equal(t, 1, dropped)
		}
		require.GreaterOrEqual(t, sent[2], 100<<10-prefix)
		require.Zero(t, c.Waiting())
	}
}

// Guards against frames that wait for seconds while the link is idle, because many bytes were handed over
// to a peer that doesn't read while the limits were off.
func TestUnpacedBytesDoNotDelayLaterFrames(t *testing.T) {
	s := newScheduler()
	stuck, other := s.Add(nil), s.Add(nil)
	_, ok := s.Enqueue(stuck, answer(1, 1<<20, 2))
	require.True(t, ok)
	s.SetPaced(false)
	for ok = true; ok; {
		_, _, ok = s.Next(0)
	}
	s.SetPaced(true)
	_, ok = s.Enqueue(other, answer(2, 400, 0))
	require.True(t, ok)
	h, wait, ok := s.Next(time.Millisecond)
	require.True(t, ok, "it has to wait for %s", wait)
	require.Equal(t, other, h.Conn)
}

// Guards against a bulk stream that is allotted more in each turn that ends early because its peer reads
// slowly, and takes the link from the others once the peer reads fast.
func TestBlockedStreamDoesNotSaveUpItsShare(t *testing.T) {
	s := newScheduler()
	slow, other := s.Add(nil), s.Add(nil)
	for _, c := range []*egress.Conn{slow, other} {
		c.AcceptPieces()
		_, ok := s.Enqueue(c, answer(1, 1000<<10, 0))
		require.True(t, ok)
	}
	now, unwritten := time.Duration(0), 0
	// run returns the most bytes that the slow connection was handed in a row.
	run := func(until, writeEvery time.Duration) (longest int) {
		written, row := now, 0
		for ; now < until; now += time.Millisecond {
			if now-written >= writeEvery {
				s.Written(slow, unwritten)
				written, unwritten = now, 0
			}
			for {
				h, _, ok := s.Next(now)
				if !ok {
					break
				}
				size := len(h.Data) + piecePrefix
				if h.Conn == other {
					s.Written(other, size)
					row = 0
					continue
				}
				unwritten += size
				row += size
				longest = max(longest, row)
			}
		}
		return longest
	}
	run(500*time.Millisecond, 60*time.Millisecond)
	longest := run(600*time.Millisecond, 0)
	t.Logf("%d bytes in a row", longest)
	const pieceOfWindow = rate * 0.007 / 2
	require.LessOrEqual(t, longest, int(2*4*(pieceOfWindow+piecePrefix)), "two turns")
}

// Guards against bytes that are lost, repeated, out of order or put into the middle of a frame, and
// against more than a window handed over at once.
func TestFramesArriveIntact(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newScheduler()
		type peer struct {
			conn     *egress.Conn
			received map[uint32][]byte
			partial  *uint32
			inPieces map[uint32]bool
		}
		peers := make([]*peer, 3)
		want := map[*peer]map[uint32][]byte{}
		for i := range peers {
			peers[i] = &peer{conn: s.Add(i), received: map[uint32][]byte{}, inPieces: map[uint32]bool{}}
			want[peers[i]] = map[uint32][]byte{}
		}
		now, onLink := time.Duration(0), 0.0
		send := func() {
			for {
				h, _, ok := s.Next(now)
				if !ok {
					return
				}
				p := peers[h.Conn.Owner.(int)]
				if p.partial != nil {
					require.Equal(t, *p.partial, h.Frame.Stream)
					require.False(t, h.Piece)
				}
				p.partial = nil
				if !h.Piece && !h.Last {
					p.partial = &h.Frame.Stream
				}
				if h.Piece && !p.inPieces[h.Frame.Stream] {
					// The prefixes of the pieces replace that of the frame.
					p.received[h.Frame.Stream] = append(p.received[h.Frame.Stream], h.Frame.Data[:prefix]...)
				}
				p.inPieces[h.Frame.Stream] = h.Piece && !h.Last
				p.received[h.Frame.Stream] = append(p.received[h.Frame.Stream], h.Data...)
				s.Written(h.Conn, len(h.Data)+piecePrefix)
				onLink += float64(len(h.Data))
				if h.Frame.Class != egress.Control {
					require.LessOrEqual(t, onLink, rate*0.008+4*piecePrefix)
				}
			}
		}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			p := peers[rapid.IntRange(0, 2).Draw(t, "peer")]
			switch rapid.IntRange(0, 5).Draw(t, "action") {
			case 0:
				p.conn.AcceptPieces()
			case 1:
				passed := rapid.IntRange(0, 30).Draw(t, "ms")
				now += time.Duration(passed) * time.Millisecond
				onLink = max(0, onLink-rate*float64(passed)/1000)
				send()
			default:
				stream := uint32(rapid.IntRange(1, 3).Draw(t, "stream"))
				f := answer(stream, prefix+rapid.IntRange(0, 40<<10).Draw(t, "size"), int(stream))
				for i := range f.Data {
					f.Data[i] = byte(i / 7 * int(stream))
				}
				// A small frame may overtake a bulk one of its stream.
				if f.Class == egress.Small {
					f.Stream += 10
				}
				if _, ok := s.Enqueue(p.conn, f); ok {
					want[p][f.Stream] = append(want[p][f.Stream], f.Data...)
				}
			}
		}
		s.SetPaced(false)
		onLink = -1e9
		send()
		for p, streams := range want {
			for stream, data := range streams {
				require.True(t, bytes.Equal(data, p.received[stream]))
			}
		}
		stats := s.Stats()
		require.Zero(t, stats.Total())
	})
}

// BenchmarkDecision measures one decision, with the frame that it hands over, among streams on as many
// connections.
func BenchmarkDecision(b *testing.B) {
	const streams = 62
	for _, bulk := range []bool{true, false} {
		b.Run(fmt.Sprintf("bulk=%t", bulk), func(b *testing.B) {
			s := newScheduler()
			size := 400
			if bulk {
				size = 8 << 10
			}
			now := time.Duration(0)
			f := answer(1, size, 2)
			for range streams {
				s.Enqueue(s.Add(nil), f)
			}
			b.ReportAllocs()
			for b.Loop() {
				h, wait, ok := s.Next(now)
				if !ok {
					now += wait
					continue
				}
				s.Written(h.Conn, len(h.Data))
				if h.Last {
					s.Enqueue(h.Conn, f)
				}
			}
		})
	}
}
