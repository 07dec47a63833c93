package peer

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"math"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetdock/limpetdock/internal/kind"
	"github.com/limpetdock/limpetdock/internal/mesh"
	"github.com/limpetdock/limpetdock/internal/mesh/egress"
	"github.com/limpetdock/limpetdock/internal/virtualtime"
)

// link13 is the rate of a link of 13 Mbit/s in bytes per second.
const link13 = 13e6 / 8

func enabledUplink() *Uplink {
	u := NewUplink(link13, DefaultQueueBytes)
	u.SetEnabled(true)
	return u
}

// Guards against bytes on the wire that change where the feature is off.
func TestBytesAreTheSameWhileSchedulingIsOff(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		c := NewClient(mesh.Place{VM: "a", Region: "rs"}, &loadRecorder{last: map[string]mesh.Load{}})
		c.now = stoppedClock
		s := NewServer(fakeHandler{}, mesh.Place{})
		hello, err := c.helloFrame(c.uplink.on())
		require.NoError(t, err)
		expected, err := encode(frameHello, 0, &Hello{VM: "a", Region: "rs", Suspects: true, SentMs: 1})
		require.NoError(t, err)
		require.Equal(t, expected, hello)
		l := fakeHandler{}.Load()
		require.Equal(t, extension{}, s.reportExtension(l))
		sent := append([]byte{}, hello...)
		near, far := net.Pipe()
		w := newWriter(near, NewUplink(link13, DefaultQueueBytes), &delivery{})
		require.NoError(t, w.send(hello))
		for i, size := range []int{100, 300 << 10, 0, 5 << 10, 10} {
			frame, err := encode(frameAnswer, uint32(i), &answerBody{Body: make([]byte, size)})
			require.NoError(t, err)
			require.NoError(t, w.send(frame))
			sent = append(sent, frame...)
		}
		got := make([]byte, len(sent))
		_, err = io.ReadFull(far, got)
		require.NoError(t, err)
		require.True(t, bytes.Equal(sent, got))
		w.close()
		require.NoError(t, far.Close())
	})
}

// dialRaw connects to a server as a client whose Hello has an extension.
func dialRaw(t *testing.T, s *Server, x extension) (near net.Conn, done func()) {
	near, far := net.Pipe()
	var served sync.WaitGroup
	served.Go(func() { s.serve(far) })
	hello, err := encodeExtended(frameHello, 0, &Hello{}, x)
	require.NoError(t, err)
	_, err = near.Write(hello)
	require.NoError(t, err)
	return near, func() {
		_ = near.Close()
		served.Wait()
	}
}

func sendRaw(t *testing.T, near net.Conn, kind frameType, stream uint32, body any) {
	frame, err := encode(kind, stream, body)
	require.NoError(t, err)
	_, err = near.Write(frame)
	require.NoError(t, err)
}

// sizedAnswer answers with as many bytes as the request's QueueTimeout has milliseconds.
func sizedAnswer(_ context.Context, r *mesh.Request) (*mesh.Answer, *kind.Error) {
	return &mesh.Answer{Status: 200, Body: make([]byte, r.QueueTimeout.Milliseconds())}, nil
}

func sizedRequest(size int) *mesh.Request {
	return &mesh.Request{Idempotent: true, Remaining: time.Minute, QueueTimeout: time.Duration(size) * time.Millisecond}
}

// Guards against pieces sent to a node of the previous version, which closes the connection, and
// against a new one that gets whole frames, so that small answers wait for them.
func TestOnlyNodesThatAcceptPiecesGetThem(t *testing.T) {
	const large = 540 << 10
	for _, accepts := range []bool{false, true} {
		virtualtime.Test(t, func(t *testing.T) {
			s := NewServer(fakeHandler{sizedAnswer}, mesh.Place{})
			s.SetUplink(enabledUplink())
			near, done := dialRaw(t, s, extension{Chunks: accepts})
			defer done()
			reader := bufio.NewReader(near)
			_, _, _, err := decode(reader)
			require.NoError(t, err, "the load report")
			sendRaw(t, near, frameRequest, 1, fromRequest(sizedRequest(large)))
			// The first piece of the large answer is on its way when the second request arrives.
			synctest.Wait()
			sendRaw(t, near, frameRequest, 2, fromRequest(sizedRequest(400)))
			received := map[frameType]int{}
			for stream := uint32(0); stream != 2; {
				var kind frameType
				kind, stream, _, err = decode(reader)
				require.NoError(t, err)
				received[kind]++
			}
			if accepts {
				require.Positive(t, received[frameChunk])
				require.Less(t, received[frameChunk], 10, "the small answer overtakes the large one")
				return
			}
			require.Equal(t, map[frameType]int{frameAnswer: 2}, received)
		})
	}
}

// Guards against requests in pieces to a server of the previous version, and against a server of this
// version that can't put them together.
func TestOnlyServersThatAcceptPiecesGetThem(t *testing.T) {
	for _, accepts := range []bool{false, true} {
		virtualtime.Test(t, func(t *testing.T) {
			near, far := net.Pipe()
			c := NewClient(mesh.Place{}, &loadRecorder{last: map[string]mesh.Load{}})
			c.SetUplink(enabledUplink())
			c.dial = func(string) (net.Conn, error) { return near, nil }
			var running sync.WaitGroup
			running.Go(func() { _, _ = c.Run(t.Context(), "", &mesh.Request{Body: make([]byte, 100<<10), Idempotent: true}) })
			reader := bufio.NewReader(far)
			kind, _, _, err := decode(reader)
			require.NoError(t, err)
			require.Equal(t, frameHello, kind)
			kind, stream, body, err := decode(reader)
			require.NoError(t, err)
			require.Equal(t, frameRequest, kind, "the server has not said that it accepts pieces")
			require.Greater(t, len(body), 100<<10)
			report, err := encodeExtended(frameLoad, 0, fromLoad(mesh.Load{}), extension{Chunks: accepts})
			require.NoError(t, err)
			_, err = far.Write(report)
			require.NoError(t, err)
			synctest.Wait()
			running.Go(func() { _, _ = c.Run(t.Context(), "", &mesh.Request{Body: make([]byte, 100<<10), Idempotent: true}) })
			kind, _, _, err = decode(reader)
			require.NoError(t, err)
			require.Equal(t, map[bool]frameType{true: frameChunk, false: frameRequest}[accepts], kind)
			require.Equal(t, uint32(1), stream)
			require.NoError(t, far.Close())
			running.Wait()
			c.CloseUnused(nil)
		})
	}
}

// Guards against a peer that doesn't read which delays the answers of others or gets none once it
// reads, and against a node that stops before the answers that wait have been sent.
func TestPeerThatDoesNotReadBlocksOnlyItsConnection(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		s := NewServer(fakeHandler{sizedAnswer}, mesh.Place{})
		s.SetUplink(enabledUplink())
		stuck, doneStuck := dialRaw(t, s, extension{Chunks: true})
		for stream := range uint32(20) {
			sendRaw(t, stuck, frameRequest, stream+1, fromRequest(sizedRequest(300<<10)))
		}
		time.Sleep(100 * time.Millisecond)
		require.False(t, s.Delivered(), "no answer was read")
		near, done := dialRaw(t, s, extension{Chunks: true})
		defer done()
		reader := bufio.NewReader(near)
		_, _, _, err := decode(reader)
		require.NoError(t, err)
		for _, size := range []int{400, 540 << 10, 2 << 20} {
			began := time.Now()
			sendRaw(t, near, frameRequest, uint32(size), fromRequest(sizedRequest(size)))
			for got := 0; got < size; {
				_, _, body, err := decode(reader)
				require.NoError(t, err)
				got += len(body)
				require.False(t, got < size-(32<<10) && s.Delivered(), "answers wait for the link or their peer")
			}
			atFullRate := time.Duration(float64(size) / link13 * float64(time.Second))
			require.LessOrEqual(t, time.Since(began), atFullRate+12*time.Millisecond, "%d bytes", size)
		}
		require.Positive(t, s.uplink.State().Backlog, "the other answers wait")
		for reader, got := bufio.NewReader(stuck), 0; got < 1<<20; {
			_, _, body, err := decode(reader)
			require.NoError(t, err, "the peer reads again")
			got += len(body)
		}
		doneStuck()
		require.Zero(t, s.uplink.State().Backlog, "they are dropped with the connection")
	})
}

// Guards against requests that fail or hang when the feature is switched while their frames wait or are
// half sent, and against nodes that don't begin to use pieces on a connection that is open.
func TestSchedulingIsSwitchedInRunningConnection(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		c, s, stop := startSlowNode(t, false, func(_ context.Context, r *mesh.Request) *mesh.Answer {
			return &mesh.Answer{Status: 200, Body: append(bytes.Repeat([]byte{r.Body[0]}, 100<<10), r.Body...)}
		}, func(*wire) {})
		defer stop()
		for _, bulk := range []bool{false, true} {
			_, _, err := c.link(linkKey{bulk: bulk}).connect(t.Context())
			require.NoError(t, err)
		}
		var running sync.WaitGroup
		for i := range 30 {
			running.Go(func() {
				// The smaller ones use one connection, and the larger ones another.
				body := bytes.Repeat([]byte{byte(i)}, 5<<10+i%2*(40<<10))
				a, failure := c.Run(t.Context(), "", &mesh.Request{Body: body, Idempotent: true})
				require.Nil(t, failure)
				require.Equal(t, bytes.Repeat([]byte{byte(i)}, 100<<10+len(body)), a.Body)
			})
			time.Sleep(30 * time.Millisecond)
			s.SendLoad(mesh.Load{Slots: 3}, ScopeAll)
			if i%3 == 0 {
				s.uplink.SetEnabled(!s.uplink.on())
			}
			if i%4 == 0 {
				c.uplink.SetEnabled(!c.uplink.on())
			}
		}
		running.Wait()
		require.Positive(t, s.uplink.State().Pieces)
		require.Positive(t, c.uplink.State().Pieces)
		for _, u := range []*Uplink{s.uplink, c.uplink} {
			waiting := u.State()
			require.Zero(t, waiting.Total())
			require.Zero(t, waiting.IncompleteBytes)
		}
		require.True(t, s.Delivered())
	})
}

// Guards against a frame that gets into the middle of another one, as its sender found the feature off
// right before it was switched on.
func TestFrameIsNotQueuedPastTheScheduler(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		near, far := net.Pipe()
		u := NewUplink(link13, DefaultQueueBytes)
		w := newWriter(near, u, nil)
		u.SetEnabled(true)
		require.NoError(t, w.send(make([]byte, 100<<10)))
		_, err := w.append(make([]byte, prefixSize))
		require.ErrorIs(t, err, errSwitched)
		u.SetEnabled(false)
		_, err = u.enqueue(w, make([]byte, prefixSize), 0)
		require.ErrorIs(t, err, errSwitched)
		_, err = w.append(make([]byte, prefixSize))
		require.NoError(t, err)
		w.close()
		require.NoError(t, far.Close())
	})
}

// Guards against a cancelled request whose answer goes on taking the link or memory, or whose pieces
// in transit break the connection.
func TestAnswerOfCancelledRequestIsDropped(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		c, s, stop := startSlowNode(t, true, func(_ context.Context, r *mesh.Request) *mesh.Answer {
			a, _ := sizedAnswer(t.Context(), r)
			return a
		}, func(*wire) {})
		defer stop()
		ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
		defer cancel()
		_, failure := c.Run(ctx, "", sizedRequest(4<<20))
		require.NotNil(t, failure)
		require.Zero(t, c.uplink.State().IncompleteBytes)
		reports := c.listener.(*loadRecorder)
		began, before := time.Now(), len(reports.all)
		_, failure = c.Run(t.Context(), "", sizedRequest(100<<10))
		require.Len(t, reports.all, before, "newer reports may have overtaken the pieces of the answer")
		require.Nil(t, failure)
		require.Less(t, time.Since(began), 200*time.Millisecond)
		require.Greater(t, s.uplink.State().Dropped, uint64(3<<20))
		require.Zero(t, c.uplink.State().IncompleteBytes)
		require.True(t, s.Delivered())
	})
}

// Guards against a peer that fills the memory with frames that it never completes, and against
// invalid pieces that are accepted.
func TestIncompleteFramesAreBounded(t *testing.T) {
	u := NewUplink(link13, 1<<20)
	p, other := newPieces(u), newPieces(u)
	piece := append([]byte{byte(frameAnswer), 0}, make([]byte, 8<<10)...)
	_, _, _, err := other.add(1, piece)
	require.NoError(t, err)
	accepted := 0
	for ; err == nil && accepted < 1000; accepted++ {
		_, _, _, err = p.add(uint32(accepted%10), piece)
	}
	require.ErrorIs(t, err, errPieces)
	require.InDelta(t, 1<<20, accepted*(8<<10), 32<<10)
	p.close()
	other.close()
	require.Zero(t, u.State().IncompleteBytes)
	for _, invalid := range [][]byte{{}, {3, 0}, {3, 2, 1}, {byte(frameChunk), 1, 1}, {byte(frameHello), 1, 1}} {
		_, _, _, err := newPieces(u).add(1, invalid)
		require.ErrorIs(t, err, errPieces)
	}
}

// Guards against bulk requests that are admitted while the link has no room for their answers, and a
// reported backlog that changes with every frame.
func TestUplinkIsFullBeyondItsQueue(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		u := NewUplink(1e6, 1<<20)
		u.SetEnabled(true)
		near, far := net.Pipe()
		w := newWriter(near, u, nil)
		frame, err := encode(frameAnswer, 1, &answerBody{Body: make([]byte, 1<<20+100<<10)})
		require.NoError(t, err)
		_, full := u.Full()
		require.False(t, full)
		require.NoError(t, w.send(frame))
		wait, full := u.Full()
		require.True(t, full)
		require.InDelta(t, 100*1024/1e6, wait.Seconds(), 0.02)
		rate, backlog := u.Load()
		require.InDelta(t, 1e6, rate, 0)
		require.Zero(t, backlog%(10*time.Millisecond))
		require.InDelta(t, 1.151, backlog.Seconds(), 0.02)
		u.SetEnabled(false)
		rate, backlog = u.Load()
		require.Zero(t, rate)
		require.Zero(t, backlog)
		left := u.State()
		require.Zero(t, left.Total(), "frames that come now are written after those that waited")
		w.close()
		require.NoError(t, far.Close())
	})
}

// Guards against a peer that doesn't read whose kernel buffers take a part of the link from others.
func TestKernelHoldsLittleForPeerThatDoesNotRead(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	near, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	far, err := l.Accept()
	require.NoError(t, err)
	const rate, size = 10e6, 16 << 20
	u := NewUplink(rate, DefaultQueueBytes)
	u.SetEnabled(true)
	w := newWriter(near, u, nil)
	frame, err := encode(frameAnswer, 1, &answerBody{Body: make([]byte, size)})
	require.NoError(t, err)
	require.NoError(t, w.send(frame))
	previous := uint64(0)
	require.Eventually(t, func() bool {
		sent := u.State().Sent[egress.Bulk]
		blocked := sent == previous
		previous = sent
		return blocked
	}, time.Minute, 100*time.Millisecond)
	t.Logf("%d bytes were sent", previous)
	require.Less(t, previous, uint64(1<<20))
	w.close()
	require.NoError(t, far.Close())
	require.NoError(t, l.Close())
}

// Guards against the load of an answer that waited for the link, which replaces that of a newer report:
// answers too small for pieces wait with the large ones, and load reports overtake them.
func TestLoadOfAnswerThatWaitedIsIgnored(t *testing.T) {
	for _, scheduled := range []bool{false, true} {
		reports := &loadRecorder{last: map[string]mesh.Load{}}
		l := NewClient(mesh.Place{}, reports).link(linkKey{})
		l.pieces = newPieces(l.client.uplink)
		receive := func(stream uint32, size, slots int) {
			body := &answerBody{Body: make([]byte, size), Load: fromLoad(mesh.Load{Slots: slots})}
			frame, err := encodeExtended(frameAnswer, stream, body, extension{Chunks: scheduled})
			require.NoError(t, err)
			near, far := net.Pipe()
			w := newWriter(near, l.client.uplink, nil)
			require.True(t, l.handleFrame(w, frameAnswer, stream, frame[prefixSize:], false))
			w.close()
			require.NoError(t, far.Close())
		}
		receive(1, 100, 1)
		receive(2, 10<<10, 2)
		want := map[bool]int{true: 1, false: 2}[scheduled]
		require.Equal(t, want, reports.last[""].Slots, "scheduled: %t", scheduled)
	}
}

// Guards against an answer that is lost at a stop because the time for which it waited for the link counts
// as time in which the peer acknowledged nothing.
func TestWaitForLinkIsNoStallOfConnection(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		s := NewServer(fakeHandler{sizedAnswer}, mesh.Place{})
		s.SetUplink(NewUplink(1000, DefaultQueueBytes))
		s.uplink.SetEnabled(true)
		busy, doneBusy := dialRaw(t, s, extension{Chunks: true})
		defer doneBusy()
		go func() { _, _ = io.Copy(io.Discard, busy) }()
		near, done := dialRaw(t, s, extension{Chunks: true})
		defer done()
		reader := bufio.NewReader(near)
		_, _, _, err := decode(reader)
		require.NoError(t, err, "the load report")
		// The first answer takes the link for a second.
		sendRaw(t, busy, frameRequest, 1, fromRequest(sizedRequest(1000)))
		synctest.Wait()
		sendRaw(t, near, frameRequest, 1, fromRequest(sizedRequest(5<<10)))
		synctest.Wait()
		for began := time.Now(); time.Since(began) < 1500*time.Millisecond; time.Sleep(5 * time.Millisecond) {
			require.False(t, s.Delivered(), "after %s", time.Since(began))
			synctest.Wait()
		}
	})
}

// Guards against a request that gets the stream ID of frames without a stream when the IDs begin again.
func TestStreamIDsBeginAgainAfterZero(t *testing.T) {
	l := NewClient(mesh.Place{}, nil).link(linkKey{})
	l.lastStreamID = math.MaxUint32
	streamID, _ := l.openStream(false)
	require.Equal(t, uint32(1), streamID)
}
