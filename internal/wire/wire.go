// Package wire defines the control messages between nodes and their framing: a
// four-byte length, a version, a type, and a msgpack body. Callers' requests and
// answers are not control messages; they are sent over HTTP.
package wire

import (
	"encoding/binary"
	"io"

	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"
)

// Version is the frame version. A node closes connections that use another one.
const Version = 1

// Type identifies the message in a frame.
type Type uint8

// Message types. A number is never reused for another type.
const (
	TypeHello Type = 1 + iota
	TypeGossip
	TypeFetch
	TypeDocument
	TypeSeal
	TypeSealed
	TypeFetchVMs
	TypeVMs
	TypeProbe
	TypeLoad
	TypeKeysOffer
	TypeKeysGrant
	TypeKeysPart
	TypeKeysAck
	TypeKeysRequest
)

const (
	headerSize = 6
	// smallFrame is the size limit of all messages except documents, VM lists and
	// parts of key tables.
	smallFrame = 64 << 10
	// documentFrame is the size limit of a document with its msgpack overhead.
	documentFrame = 1<<20 + 4096
)

// Framing errors. Each of them closes the connection.
var (
	ErrVersion  = eris.New("unsupported frame version")
	ErrType     = eris.New("unknown frame type")
	ErrTooLarge = eris.New("frame exceeds the size limit")
	ErrBody     = eris.New("invalid frame body")
)

// Message is a control message of this package.
type Message interface{ Type() Type }

// Hello is the first message on every connection and identifies the dialing node.
type Hello struct {
	Fleet       string `msgpack:"f"`
	VM          string `msgpack:"v"`
	Incarnation uint64 `msgpack:"i"`
}

// Gossip carries membership and configuration updates. The reply is a Gossip too.
type Gossip struct {
	From     string `msgpack:"f"`
	Revision uint64 `msgpack:"r"`
	Digest   string `msgpack:"d"`
	// Serving is true if the sender serves requests, so that Revision and Digest
	// are those of the configuration in force.
	Serving bool `msgpack:"j,omitempty"`
	// VMs is the platform's version of the sender's VM list.
	VMs uint64 `msgpack:"l"`
	// VMsAge is an upper bound, in milliseconds, on the time since the platform
	// returned that version; 0 means unknown.
	VMsAge   uint32    `msgpack:"a,omitempty"`
	Members  []Member  `msgpack:"m"`
	Suspects []Suspect `msgpack:"s,omitempty"`
}

// MemberState is the reported state of a node.
type MemberState uint8

// Node states. For the same incarnation, a later state overrides an earlier one.
const (
	MemberAlive MemberState = iota
	MemberSuspect
	MemberLeaving
	// MemberListed is a node that is marked as leaving in the sender's VM list.
	MemberListed
)

// Member is an update about one node. It is encoded as an array, without field
// names, because these rows make up most of the control traffic. The order of the
// fields is part of the format.
type Member struct {
	//lint:ignore U1000 msgpack reads its tag
	_msgpack struct{} `msgpack:",as_array"`
	VM       string
	// Incarnation identifies the node's process; at-most-once attempts must name it.
	Incarnation uint64
	State       MemberState
	// Tick is the guard's coarse tick at the time it sent the update.
	Tick uint64
	// Order, then Beat, rank the updates about one VM name; only the node itself
	// raises them. Order starts as the incarnation. A node that receives a higher
	// Order for its own name, as after its clock was set back, raises its Order
	// above it.
	Order, Beat uint64
}

// Suspect describes a request fingerprint that was in flight when backend servers
// died.
type Suspect struct {
	Fingerprint uint64 `msgpack:"f" json:"fingerprint"`
	// Deaths lists the IDs of the deaths during which it was in flight. Alone
	// reports, in the same order, whether nothing else was running.
	Deaths []uint64 `msgpack:"d" json:"deaths"`
	Alone  []bool   `msgpack:"a" json:"alone"`
	// Cleared lists the deaths it is no longer suspected of, because a later run
	// completed.
	Cleared []uint64 `msgpack:"c,omitempty" json:"cleared,omitempty"`
	// ExpiresMs is the time until the suspicion expires, in milliseconds.
	ExpiresMs uint32 `msgpack:"e" json:"expires_ms"`
	// Served reports, in the order of Deaths, whether the backend server had answered such a
	// request shortly before.
	Served []bool `msgpack:"v,omitempty" json:"served,omitempty"`
	// Trial reports, in the order of Deaths, whether the request was on trial.
	Trial []bool `msgpack:"t,omitempty" json:"trial,omitempty"`
	// Uncertain reports, in the order of Deaths, whether only the request's own exchange broke off.
	Uncertain []bool `msgpack:"u,omitempty" json:"uncertain,omitempty"`
	// SinceMs is the time since the last death, in milliseconds.
	SinceMs uint32 `msgpack:"s,omitempty" json:"since_ms"`
}

// FetchVMs requests the peer's VM list.
type FetchVMs struct{}

// VMs is the reply to a FetchVMs.
type VMs struct {
	Version uint64 `msgpack:"v"`
	Rows    []VM   `msgpack:"r"`
}

// VM is a row of the VM list.
type VM struct {
	//lint:ignore U1000 msgpack reads its tag
	_msgpack struct{} `msgpack:",as_array"`
	Name, IP string
	Leaving  bool
}

// Fetch requests a configuration document by the digest of its text. An empty
// digest requests the index in force.
type Fetch struct {
	Digest string `msgpack:"d"`
}

// Document is the reply to a Fetch. Text is empty if the node doesn't have the
// document.
type Document struct {
	Digest string `msgpack:"d"`
	Text   []byte `msgpack:"t"`
}

// Seal requests the outcome of an attempt, and seals the attempt if it hasn't
// started. A sealed attempt never runs.
type Seal struct {
	Incarnation uint64 `msgpack:"i"`
	Attempt     string `msgpack:"a"`
	// Tick is the tick that the attempt named.
	Tick uint64 `msgpack:"t"`
	// AskOnly requests the state without sealing an attempt that hasn't arrived.
	AskOnly bool `msgpack:"o,omitempty"`
}

// AttemptState is the state of an attempt as recorded by its guard.
type AttemptState uint8

// Attempt states.
const (
	// AttemptAbsent is an attempt that the guard has no record of and didn't seal.
	AttemptAbsent AttemptState = iota
	// AttemptSealed will never run.
	AttemptSealed
	// AttemptRunning has been recorded and may have reached the backend server.
	AttemptRunning
	// AttemptDone has completed, and its answer can be collected.
	AttemptDone
	// AttemptLost ran or may have run, but its answer is not available.
	AttemptLost
	// AttemptOtherIncarnation belongs to an incarnation other than the answering one.
	AttemptOtherIncarnation
	// AttemptWaiting has arrived at the guard but is not recorded yet; it can still
	// be sealed.
	AttemptWaiting
)

// Sealed is the reply to a Seal.
type Sealed struct {
	Incarnation uint64       `msgpack:"i"`
	Tick        uint64       `msgpack:"t"`
	State       AttemptState `msgpack:"s"`
}

// Probe requests the load of a node's backend server.
type Probe struct{}

// Load is the reply to a Probe, with the guard's own counts.
type Load struct {
	Running uint32 `msgpack:"r"`
	Waiting uint32 `msgpack:"w"`
	Slots   uint32 `msgpack:"s"`
	// ServiceUs is the mean service time of a slot, in microseconds.
	ServiceUs uint32 `msgpack:"t"`
}

// Type returns the message type.
func (*Hello) Type() Type { return TypeHello }

// Type returns the message type.
func (*Gossip) Type() Type { return TypeGossip }

// Type returns the message type.
func (*Fetch) Type() Type { return TypeFetch }

// Type returns the message type.
func (*Document) Type() Type { return TypeDocument }

// Type returns the message type.
func (*Seal) Type() Type { return TypeSeal }

// Type returns the message type.
func (*Sealed) Type() Type { return TypeSealed }

// Type returns the message type.
func (*FetchVMs) Type() Type { return TypeFetchVMs }

// Type returns the message type.
func (*VMs) Type() Type { return TypeVMs }

// Type returns the message type.
func (*Probe) Type() Type { return TypeProbe }

// Type returns the message type.
func (*Load) Type() Type { return TypeLoad }

func newMessage(t Type) (Message, int) {
	switch t {
	case TypeHello:
		return &Hello{}, smallFrame
	case TypeGossip:
		return &Gossip{}, smallFrame
	case TypeFetch:
		return &Fetch{}, smallFrame
	case TypeDocument:
		return &Document{}, documentFrame
	case TypeSeal:
		return &Seal{}, smallFrame
	case TypeSealed:
		return &Sealed{}, smallFrame
	case TypeFetchVMs:
		return &FetchVMs{}, smallFrame
	case TypeVMs:
		return &VMs{}, documentFrame
	case TypeProbe:
		return &Probe{}, smallFrame
	case TypeLoad:
		return &Load{}, smallFrame
	case TypeKeysOffer:
		return &KeysOffer{}, smallFrame
	case TypeKeysGrant:
		return &KeysGrant{}, smallFrame
	case TypeKeysPart:
		return &KeysPart{}, documentFrame
	case TypeKeysAck:
		return &KeysAck{}, smallFrame
	case TypeKeysRequest:
		return &KeysRequest{}, smallFrame
	}
	return nil, 0
}

// Encode returns the frame of a message.
func Encode(m Message) ([]byte, error) {
	body, err := msgpack.Marshal(m)
	if err != nil {
		return nil, eris.Wrap(err, "encode message")
	}
	if _, limit := newMessage(m.Type()); len(body) > limit {
		return nil, ErrTooLarge
	}
	frame := make([]byte, headerSize, headerSize+len(body))
	binary.BigEndian.PutUint32(frame, uint32(len(body)))
	frame[4] = Version
	frame[5] = byte(m.Type())
	return append(frame, body...), nil
}

// Size returns the size of a message's frame in bytes, or zero if the message
// can't be encoded.
func Size(m Message) int {
	frame, err := Encode(m)
	if err != nil {
		return 0
	}
	return len(frame)
}

// Read reads one frame. It never allocates more than the size limit of the type,
// and it grows its buffer only as bytes arrive, so that a large length without a
// body doesn't cause a large allocation.
func Read(r io.Reader) (Message, error) {
	var head [headerSize]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return nil, err
	}
	if head[4] != Version {
		return nil, ErrVersion
	}
	m, limit := newMessage(Type(head[5]))
	if m == nil {
		return nil, ErrType
	}
	size := binary.BigEndian.Uint32(head[:4])
	if size > uint32(limit) {
		return nil, ErrTooLarge
	}
	body, err := io.ReadAll(io.LimitReader(r, int64(size)))
	if err != nil {
		return nil, err
	}
	if len(body) < int(size) {
		return nil, io.ErrUnexpectedEOF
	}
	if err := msgpack.Unmarshal(body, m); err != nil {
		return nil, ErrBody
	}
	return m, nil
}

// Write writes the frame of a message with one call to w and returns the number of
// bytes written.
func Write(w io.Writer, m Message) (int, error) {
	frame, err := Encode(m)
	if err != nil {
		return 0, err
	}
	return w.Write(frame)
}
