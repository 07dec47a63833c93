// Package peer carries requests and load reports between nodes. They are multiplexed
// over one TCP connection in frames: a four-byte length, a type, a stream ID and a
// msgpack body. A stream is one request and its outcome.
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
	"github.com/limpetdock/limpetdock/internal/readlimit"
)

// frameType identifies the content of a frame. Numbers are never reused.
type frameType uint8

const (
	frameHello frameType = 1 + iota
	// frameRequest carries a request; it is answered by a frameAnswer or frameRefusal.
	frameRequest
	frameAnswer
	frameRefusal
	// frameCancel cancels a request: the sender no longer waits for the answer.
	frameCancel
	// frameLoad is a load report. It belongs to no stream.
	frameLoad
	// framePing requests an immediate framePong. Neither belongs to a stream.
	framePing
	framePong
	// frameStateQuery requests the store state that a node has, and frameState carries
	// it. Neither belongs to a stream, and both are sent in either direction.
	frameStateQuery
	frameState
	// frameReady reports that a request which needs confirmation has a slot, and
	// frameProceed allows it to run.
	frameReady
	frameProceed
	// frameSuspects carries requests that may crash backend servers, to nodes whose Hello says
	// that they accept it. It belongs to no stream.
	frameSuspects
	// frameChunk carries a piece of a frame that is too long to be sent at once, to nodes that say
	// that they accept it (extension.Chunks).
	frameChunk
	// frameEnd is greater than all types.
	frameEnd
)

const (
	// prefixSize is the size of the length, the type and the stream ID, in bytes.
	prefixSize = 4 + 1 + 4
	// maxFrame bounds the body of a frame, in bytes. It is larger than the largest answer
	// that a node holds in memory, so that only a broken or foreign sender exceeds it.
	maxFrame = 20 << 20
	// maxFirstFrame bounds the body of the first frame in each direction, which is a Hello or a load report,
	// in bytes.
	maxFirstFrame = 64 << 10
)

var errFrame = eris.New("invalid frame size or type")

// Hello is the first frame on every connection; it identifies the node that dialled.
type Hello struct {
	VM, Region string
	// Suspects is true if the node accepts a frameSuspects. Older versions close the connection.
	Suspects bool
	// SentMs is when it was sent, by the sender's clock, in milliseconds; 0 is unknown.
	SentMs uint64
}

// requestBody is the encoding of a mesh.Request. Times are in milliseconds.
type requestBody struct {
	ID                   string
	Method               string
	URI                  string
	Host                 string
	Header               map[string][]string
	Body                 []byte
	Caller               string
	Service              string
	Target               string
	Idempotent           bool
	Priority             int
	RemainingMs          uint32
	QueueTimeoutMs       uint32
	BaseServiceMs        uint32
	ObjectiveRemainingMs int32
	// Confirm makes the request wait for a frameProceed before it runs.
	Confirm bool
	// Suspected is true if the request may crash the backend server.
	Suspected bool
	// SentMs is when the request was sent, by the sender's clock; 0 is unknown.
	SentMs uint64
}

type answerBody struct {
	Status        int
	Header        map[string][]string
	Body          []byte
	Load          loadBody
	BaseServiceMs uint32
	// Calls are those that the run has made, by service.
	Calls map[string]float32
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

// loadBody is the encoding of a mesh.Load. It is kept small because every answer and
// every refusal carries one.
type loadBody struct {
	Running   uint16
	Waiting   uint16
	Slots     uint16
	ServiceMs uint16
	// SlowdownPercent is 100 if requests take as long as usual.
	SlowdownPercent uint16
	RecoversInMs    uint16
	Leaving         bool
	Revision        uint64
	Reading         bool
	// SustainedPercent is the sustained part of the slowdown.
	SustainedPercent uint16
	// Confirms is true if the node asks for confirmation of requests that need it.
	Confirms          bool
	RequestIntervalMs uint16
	AcceptsInMs       uint16
}

// stateQueryBody is the encoding of a StateQuery.
type stateQueryBody struct {
	After uint64
	Whole bool
}

func milliseconds(d time.Duration) uint32 {
	return uint32(min(max(d.Milliseconds(), 0), 1<<31))
}

// signedMilliseconds returns d in milliseconds; it is negative for a time that has passed.
func signedMilliseconds(d time.Duration) int32 {
	return int32(min(max(d.Milliseconds(), math.MinInt32), math.MaxInt32))
}

func fromRequest(r *mesh.Request) *requestBody {
	return &requestBody{
		ID: r.ID, Method: r.Method, URI: r.URI, Host: r.Host, Header: r.Header, Body: r.Body,
		Caller: r.Caller, Service: r.Service, Target: r.Target, Idempotent: r.Idempotent,
		Priority: r.Priority, RemainingMs: milliseconds(r.Remaining), QueueTimeoutMs: milliseconds(r.QueueTimeout),
		BaseServiceMs: milliseconds(r.BaseServiceTime), ObjectiveRemainingMs: signedMilliseconds(r.ObjectiveRemaining),
		Suspected: r.Suspected,
	}
}

func (b *requestBody) request() *mesh.Request {
	if b.Header == nil {
		b.Header = http.Header{}
	}
	return &mesh.Request{
		ID: b.ID, Method: b.Method, URI: b.URI, Host: b.Host, Header: b.Header, Body: b.Body,
		Caller: b.Caller, Service: b.Service, Target: b.Target, Idempotent: b.Idempotent, Priority: b.Priority,
		Remaining:          time.Duration(b.RemainingMs) * time.Millisecond,
		QueueTimeout:       time.Duration(b.QueueTimeoutMs) * time.Millisecond,
		BaseServiceTime:    time.Duration(b.BaseServiceMs) * time.Millisecond,
		ObjectiveRemaining: time.Duration(b.ObjectiveRemainingMs) * time.Millisecond,
		Suspected:          b.Suspected,
	}
}

func fromAnswer(a *mesh.Answer, load mesh.Load) *answerBody {
	body := &answerBody{
		Status: a.Status, Header: a.Header, Body: a.Body, Load: fromLoad(load), BaseServiceMs: milliseconds(a.BaseServiceTime),
	}
	if len(a.Calls) > 0 {
		body.Calls = make(map[string]float32, len(a.Calls))
	}
	for service, n := range a.Calls {
		body.Calls[service] = float32(n)
	}
	return body
}

func (b *answerBody) answer() *mesh.Answer {
	a := &mesh.Answer{
		Status: b.Status, Header: b.Header, Body: b.Body, BaseServiceTime: time.Duration(b.BaseServiceMs) * time.Millisecond, Calls: mesh.Calls{},
	}
	for service, n := range b.Calls {
		a.Calls[service] = float64(n)
	}
	return a
}

func clip16(n int) uint16 { return uint16(min(max(n, 0), 1<<16-1)) }

func fromLoad(l mesh.Load) loadBody {
	return loadBody{
		Running: clip16(l.Running), Waiting: clip16(l.Waiting), Slots: clip16(l.Slots),
		ServiceMs: clip16(int(l.ServiceTime.Milliseconds())), SlowdownPercent: clip16(int(100 * l.Slowdown)),
		RecoversInMs: clip16(int(l.RecoversIn.Milliseconds())), Leaving: l.Leaving, Revision: l.Revision,
		Reading: l.ReadsStore, SustainedPercent: clip16(int(100 * l.SustainedSlowdown)), Confirms: true,
		RequestIntervalMs: clip16(int(l.RequestInterval.Milliseconds())), AcceptsInMs: clip16(int(l.AcceptsIn.Milliseconds())),
	}
}

func (b loadBody) load() mesh.Load {
	return mesh.Load{
		Running: int(b.Running), Waiting: int(b.Waiting), Slots: int(b.Slots),
		ServiceTime: time.Duration(b.ServiceMs) * time.Millisecond, Slowdown: float64(b.SlowdownPercent) / 100,
		RecoversIn: time.Duration(b.RecoversInMs) * time.Millisecond,
		Leaving:    b.Leaving, Revision: b.Revision, ReadsStore: b.Reading, SustainedSlowdown: float64(b.SustainedPercent) / 100,
		RequestInterval: time.Duration(b.RequestIntervalMs) * time.Millisecond, AcceptsIn: time.Duration(b.AcceptsInMs) * time.Millisecond,
	}
}

func fromError(e *kind.Error, load mesh.Load) *refusalBody {
	return &refusalBody{
		Kind: string(e.Kind), Message: e.Message, Outcome: string(e.ReportedOutcome()),
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

// encode returns a frame. A nil body is encoded as no bytes.
func encode(t frameType, stream uint32, body any) ([]byte, error) {
	return encodeExtended(t, stream, body, extension{})
}

// encodeExtended returns a frame with an extension.
func encodeExtended(t frameType, stream uint32, body any, x extension) ([]byte, error) {
	var buf bytes.Buffer
	buf.Write(make([]byte, prefixSize))
	if body != nil {
		e := msgpack.NewEncoder(&buf)
		// Field names would make up a third of a small frame.
		e.UseArrayEncodedStructs(true)
		e.UseCompactInts(true)
		if err := e.Encode(body); err != nil {
			return nil, eris.Wrap(err, "encode frame")
		}
		if err := x.appendTo(&buf); err != nil {
			return nil, err
		}
	}
	frame := buf.Bytes()
	setPrefix(frame, t, stream)
	return frame, nil
}

// rawFrame returns a frame without a stream whose body is already encoded.
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

// decodeFirst reads the first frame of a connection. Something that isn't a node may be at the other end, so the
// frame must be small.
func decodeFirst(r *bufio.Reader) (frameType, uint32, []byte, error) {
	return decodeWithin(r, maxFirstFrame)
}

// decode reads the next frame.
func decode(r *bufio.Reader) (frameType, uint32, []byte, error) { return decodeWithin(r, maxFrame) }

// decodeWithin reads the next frame, whose body has limit bytes at most.
func decodeWithin(r *bufio.Reader, limit uint32) (frameType, uint32, []byte, error) {
	var prefix [prefixSize]byte
	if _, err := io.ReadFull(r, prefix[:]); err != nil {
		return 0, 0, nil, err
	}
	size := binary.BigEndian.Uint32(prefix[:])
	t := frameType(prefix[4])
	if size > limit || t < frameHello || t >= frameEnd {
		return 0, 0, nil, errFrame
	}
	body, err := readlimit.ReadFull(r, int64(size))
	if err != nil {
		return 0, 0, nil, err
	}
	return t, binary.BigEndian.Uint32(prefix[5:]), body, nil
}
