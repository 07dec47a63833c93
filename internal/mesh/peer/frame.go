// Package peer carries requests and load reports between nodes, many at a time
// over one TCP connection: frames with a four-byte length, a type, a stream
// number and a msgpack body. A stream is one request and what becomes of it.
package peer

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"io"
	"math"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/limpetdock/limpetdock/internal/kind"
	"github.com/limpetdock/limpetdock/internal/mesh"
)

// frameType tells what a frame holds. A number once given is never reused.
type frameType uint8

const (
	frameHello frameType = 1 + iota
	// frameRequest offers a request; answered by frameAnswer or frameRefusal.
	frameRequest
	frameAnswer
	frameRefusal
	// frameCancel says that nobody waits for the answer any more.
	frameCancel
	// frameLoad is a load report, without a stream.
	frameLoad
	// framePing asks for a framePong at once; both are without a stream.
	framePing
	framePong
	// frameAsk asks a node for what it knows of the store, and frameState is that;
	// both are without a stream and go either way.
	frameAsk
	frameState
	// frameReady says that a request which is to be confirmed has a slot, and
	// frameProceed that it may run.
	frameReady
	frameProceed
	// frameEnd is above all types.
	frameEnd
)

const (
	// prefixSize is the length, the type and the stream.
	prefixSize = 4 + 1 + 4
	// maxFrame bounds a frame, in bytes. It is over the largest answer that a node
	// holds, so that only a broken or foreign sender exceeds it.
	maxFrame = 20 << 20
)

var errFrame = eris.New("frame of a wrong size or type")

// Hello opens every connection and says who dialled.
type Hello struct {
	VM, Region string
}

// requestBody is a mesh.Request on the wire. Times are in milliseconds.
type requestBody struct {
	ID         string
	Method     string
	URI        string
	Host       string
	Header     map[string][]string
	Body       []byte
	Caller     string
	Service    string
	Target     string
	Idempotent bool
	Priority   int
	LeftMs     uint32
	PatienceMs uint32
	WorkMs     uint32
	AimLeftMs  int32
	// Confirm has the request wait for frameProceed before it runs.
	Confirm bool
}

type answerBody struct {
	Status int
	Header map[string][]string
	Body   []byte
	Load   loadBody
	WorkMs uint32
}

type refusalBody struct {
	Kind         string
	Message      string
	Outcome      string
	RetryAfterMs uint32
	WaitMs       uint32
	FromBackend  bool
	Load         loadBody
}

// loadBody is a mesh.Load on the wire, small because it goes with everything.
type loadBody struct {
	Running   uint16
	Waiting   uint16
	Slots     uint16
	ServiceMs uint16
	// Percent is 100 for work that takes as long as usual.
	Percent  uint16
	CalmInMs uint16
	Leaving  bool
	Revision uint64
	Reading  bool
	// Standing is in percent, as Percent is.
	Standing uint16
	// Confirms says that the node has requests confirmed that ask for it.
	Confirms bool
}

// askBody is a Question on the wire.
type askBody struct {
	After uint64
	Whole bool
}

func milliseconds(d time.Duration) uint32 {
	return uint32(min(max(d.Milliseconds(), 0), 1<<31))
}

// signed gives milliseconds of a time that may be over.
func signed(d time.Duration) int32 {
	return int32(min(max(d.Milliseconds(), math.MinInt32), math.MaxInt32))
}

func fromRequest(r *mesh.Request) *requestBody {
	return &requestBody{
		ID: r.ID, Method: r.Method, URI: r.URI, Host: r.Host, Header: r.Header, Body: r.Body,
		Caller: r.Caller, Service: r.Service, Target: r.Target, Idempotent: r.Idempotent,
		Priority: r.Priority, LeftMs: milliseconds(r.Left), PatienceMs: milliseconds(r.Patience),
		WorkMs: milliseconds(r.Work), AimLeftMs: signed(r.AimLeft),
	}
}

func (b *requestBody) request() *mesh.Request {
	if b.Header == nil {
		b.Header = http.Header{}
	}
	return &mesh.Request{
		ID: b.ID, Method: b.Method, URI: b.URI, Host: b.Host, Header: b.Header, Body: b.Body,
		Caller: b.Caller, Service: b.Service, Target: b.Target, Idempotent: b.Idempotent, Priority: b.Priority,
		Left:     time.Duration(b.LeftMs) * time.Millisecond,
		Patience: time.Duration(b.PatienceMs) * time.Millisecond,
		Work:     time.Duration(b.WorkMs) * time.Millisecond,
		AimLeft:  time.Duration(b.AimLeftMs) * time.Millisecond,
	}
}

func clip16(n int) uint16 { return uint16(min(max(n, 0), 1<<16-1)) }

func fromLoad(l mesh.Load) loadBody {
	return loadBody{
		Running: clip16(l.Running), Waiting: clip16(l.Waiting), Slots: clip16(l.Slots),
		ServiceMs: clip16(int(l.Service.Milliseconds())), Percent: clip16(int(100 * l.Slowdown)),
		CalmInMs: clip16(int(l.CalmIn.Milliseconds())), Leaving: l.Leaving, Revision: l.Revision,
		Reading: l.Reading, Standing: clip16(int(100 * l.Standing)), Confirms: true,
	}
}

func (b loadBody) load() mesh.Load {
	return mesh.Load{
		Running: int(b.Running), Waiting: int(b.Waiting), Slots: int(b.Slots),
		Service: time.Duration(b.ServiceMs) * time.Millisecond, Slowdown: float64(b.Percent) / 100,
		CalmIn:  time.Duration(b.CalmInMs) * time.Millisecond,
		Leaving: b.Leaving, Revision: b.Revision, Reading: b.Reading, Standing: float64(b.Standing) / 100,
	}
}

func fromError(e *kind.Error, load mesh.Load) *refusalBody {
	return &refusalBody{
		Kind: string(e.Kind), Message: e.Message, Outcome: string(e.Said()),
		RetryAfterMs: milliseconds(e.RetryAfter), WaitMs: milliseconds(e.Wait),
		FromBackend: e.FromBackend, Load: fromLoad(load),
	}
}

func (b *refusalBody) error() *kind.Error {
	e := kind.New(kind.Kind(b.Kind), "%s", b.Message)
	if _, known := kind.AnswerOf(e.Kind); !known {
		e.Kind = kind.OutcomeUnknown
	}
	e.Outcome = kind.Outcome(b.Outcome)
	e.RetryAfter = time.Duration(b.RetryAfterMs) * time.Millisecond
	e.Wait = time.Duration(b.WaitMs) * time.Millisecond
	e.FromBackend = b.FromBackend
	return e
}

// encode makes a frame. A nil body has no bytes.
func encode(t frameType, stream uint32, body any) ([]byte, error) {
	var text bytes.Buffer
	text.Write(make([]byte, prefixSize))
	if body != nil {
		e := msgpack.NewEncoder(&text)
		// Field names would be a third of a small frame.
		e.UseArrayEncodedStructs(true)
		e.UseCompactInts(true)
		if err := e.Encode(body); err != nil {
			return nil, eris.Wrap(err, "encode frame")
		}
	}
	frame := text.Bytes()
	setPrefix(frame, t, stream)
	return frame, nil
}

// rawFrame makes a frame, without a stream, whose body is encoded already.
func rawFrame(t frameType, body []byte) []byte {
	frame := make([]byte, prefixSize, prefixSize+len(body))
	frame = append(frame, body...)
	setPrefix(frame, t, 0)
	return frame
}

func setPrefix(frame []byte, t frameType, stream uint32) {
	binary.BigEndian.PutUint32(frame, uint32(len(frame)-prefixSize))
	frame[4] = byte(t)
	binary.BigEndian.PutUint32(frame[5:], stream)
}

// decode reads the next frame.
func decode(r *bufio.Reader) (frameType, uint32, []byte, error) {
	var prefix [prefixSize]byte
	if _, err := io.ReadFull(r, prefix[:]); err != nil {
		return 0, 0, nil, err
	}
	size := binary.BigEndian.Uint32(prefix[:])
	t := frameType(prefix[4])
	if size > maxFrame || t < frameHello || t >= frameEnd {
		return 0, 0, nil, errFrame
	}
	body := make([]byte, size)
	if _, err := io.ReadFull(r, body); err != nil {
		return 0, 0, nil, err
	}
	return t, binary.BigEndian.Uint32(prefix[5:]), body, nil
}
