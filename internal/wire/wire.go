// Package wire defines the control messages that nodes send each other and how
// they are framed: a four-byte length, a version, a type, and a msgpack body.
// Requests and answers of callers never travel here; they go over HTTP.
package wire

import (
	"encoding/binary"
	"io"

	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"
)

// Version is the version of the frames. A node closes connections of another.
const Version = 1

// Type tells the message in a frame.
type Type uint8

// The types of messages. A number once given is never reused.
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
	TypeKeysKept
	TypeKeysAsk
)

const (
	headerSize = 6
	// smallFrame bounds every message but documents and VM lists.
	smallFrame = 64 << 10
	// documentFrame bounds a document with its msgpack overhead.
	documentFrame = 1<<20 + 4096
)

// Errors of the framing. Each closes the connection it came on.
var (
	ErrVersion  = eris.New("frame of another version")
	ErrType     = eris.New("frame of an unknown type")
	ErrTooLarge = eris.New("frame over the size limit")
	ErrBody     = eris.New("frame body can't be decoded")
)

// Message is one of the control messages of this package.
type Message interface{ Type() Type }

// Hello opens every connection and says who dialled.
type Hello struct {
	Fleet       string `msgpack:"f"`
	VM          string `msgpack:"v"`
	Incarnation uint64 `msgpack:"i"`
}

// Gossip carries a few pieces of news; the answer to it is a Gossip too.
type Gossip struct {
	From     string `msgpack:"f"`
	Revision uint64 `msgpack:"r"`
	Digest   string `msgpack:"d"`
	// Serving says that the sender serves, and so knows what is in force.
	Serving bool `msgpack:"j,omitempty"`
	// VMs is the platform's version of the VM list that the sender has.
	VMs uint64 `msgpack:"l"`
	// VMsAge is how long ago, in milliseconds and at most, the platform showed
	// that version; 0 is unknown.
	VMsAge   uint32    `msgpack:"a,omitempty"`
	Members  []Member  `msgpack:"m"`
	Suspects []Suspect `msgpack:"s,omitempty"`
}

// MemberState is what is said of a node.
type MemberState uint8

// The states of a node, in the order in which later ones override earlier
// ones of the same incarnation.
const (
	MemberAlive MemberState = iota
	MemberSuspect
	MemberLeaving
	// MemberListed is a node that the sender's VM list shows leaving.
	MemberListed
)

// Member is news of one node. Its fields are sent without their names, because
// most of the control bytes are these rows; a field once added stays in place.
type Member struct {
	//lint:ignore U1000 msgpack reads its tag
	_msgpack struct{} `msgpack:",as_array"`
	VM       string
	// Incarnation is the identity that at-most-once attempts must name.
	Incarnation uint64
	State       MemberState
	// Tick is the guard's own coarse tick when the news left it.
	Tick uint64
	// Order ranks news of one VM name, then Beat does: only the node itself
	// raises them. Order starts as the incarnation; a node that finds a higher one
	// under its name, as after its clock was set back, goes above it.
	Order, Beat uint64
}

// Suspect is news of a request like those in flight when backend servers died.
type Suspect struct {
	Fingerprint uint64 `msgpack:"f" json:"fingerprint"`
	// Deaths names the deaths it was in flight at; Alone says, in the same
	// order, at which of them nothing else ran.
	Deaths []uint64 `msgpack:"d" json:"deaths"`
	Alone  []bool   `msgpack:"a" json:"alone"`
	// Cleared names the deaths that a completed run has cleared it of.
	Cleared []uint64 `msgpack:"c,omitempty" json:"cleared,omitempty"`
	// ExpiresMs is what is left until it is forgotten, in milliseconds.
	ExpiresMs uint32 `msgpack:"e" json:"expires_ms"`
}

// FetchVMs asks for the VM list as the peer has it.
type FetchVMs struct{}

// VMs answers a FetchVMs.
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

// Fetch asks for a configuration document by the digest of its text; an empty
// digest asks for the index in force.
type Fetch struct {
	Digest string `msgpack:"d"`
}

// Document answers a Fetch; an empty Text says that the node doesn't have it.
type Document struct {
	Digest string `msgpack:"d"`
	Text   []byte `msgpack:"t"`
}

// Seal asks what became of an attempt, and seals it if it hasn't started.
type Seal struct {
	Incarnation uint64 `msgpack:"i"`
	Attempt     string `msgpack:"a"`
	// Tick is the one that the attempt named.
	Tick uint64 `msgpack:"t"`
	// AskOnly leaves an attempt that hasn't arrived unsealed.
	AskOnly bool `msgpack:"o,omitempty"`
}

// AttemptState is the fate of an attempt as its guard knows it.
type AttemptState uint8

// The states of an attempt.
const (
	// AttemptAbsent is an attempt the guard has no record of and didn't seal.
	AttemptAbsent AttemptState = iota
	// AttemptSealed will never run.
	AttemptSealed
	// AttemptRunning has been recorded and may have reached the backend server.
	AttemptRunning
	// AttemptDone has an answer that can be collected.
	AttemptDone
	// AttemptLost ran, or may have; its answer can't be had.
	AttemptLost
	// AttemptElsewhere belongs to another incarnation than the one asked.
	AttemptElsewhere
	// AttemptWaiting is at the guard and has not been recorded: it may still be sealed.
	AttemptWaiting
)

// Sealed answers a Seal.
type Sealed struct {
	Incarnation uint64       `msgpack:"i"`
	Tick        uint64       `msgpack:"t"`
	State       AttemptState `msgpack:"s"`
}

// Probe asks a node for the load of its backend server.
type Probe struct{}

// Load answers a Probe, by the guard's own counts.
type Load struct {
	Running uint32 `msgpack:"r"`
	Waiting uint32 `msgpack:"w"`
	Slots   uint32 `msgpack:"s"`
	// ServiceUs is how long a slot is held on average, in microseconds.
	ServiceUs uint32 `msgpack:"t"`
}

// Type tells the message's type.
func (*Hello) Type() Type { return TypeHello }

// Type tells the message's type.
func (*Gossip) Type() Type { return TypeGossip }

// Type tells the message's type.
func (*Fetch) Type() Type { return TypeFetch }

// Type tells the message's type.
func (*Document) Type() Type { return TypeDocument }

// Type tells the message's type.
func (*Seal) Type() Type { return TypeSeal }

// Type tells the message's type.
func (*Sealed) Type() Type { return TypeSealed }

// Type tells the message's type.
func (*FetchVMs) Type() Type { return TypeFetchVMs }

// Type tells the message's type.
func (*VMs) Type() Type { return TypeVMs }

// Type tells the message's type.
func (*Probe) Type() Type { return TypeProbe }

// Type tells the message's type.
func (*Load) Type() Type { return TypeLoad }

func blank(t Type) (Message, int) {
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
	case TypeKeysKept:
		return &KeysKept{}, smallFrame
	case TypeKeysAsk:
		return &KeysAsk{}, smallFrame
	}
	return nil, 0
}

// Encode gives the frame of a message.
func Encode(m Message) ([]byte, error) {
	body, err := msgpack.Marshal(m)
	if err != nil {
		return nil, eris.Wrap(err, "encode message")
	}
	if _, limit := blank(m.Type()); len(body) > limit {
		return nil, ErrTooLarge
	}
	frame := make([]byte, headerSize, headerSize+len(body))
	binary.BigEndian.PutUint32(frame, uint32(len(body)))
	frame[4] = Version
	frame[5] = byte(m.Type())
	return append(frame, body...), nil
}

// Size gives the bytes that a message takes on the wire, zero if it has no frame.
func Size(m Message) int {
	frame, err := Encode(m)
	if err != nil {
		return 0
	}
	return len(frame)
}

// Read reads one frame. It never allocates more than the type's limit, and
// grows its buffer only as bytes arrive, so that a length alone costs nothing.
func Read(r io.Reader) (Message, error) {
	var head [headerSize]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return nil, err
	}
	if head[4] != Version {
		return nil, ErrVersion
	}
	m, limit := blank(Type(head[5]))
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

// Write writes the frame of a message with one call to w and gives its size.
func Write(w io.Writer, m Message) (int, error) {
	frame, err := Encode(m)
	if err != nil {
		return 0, err
	}
	return w.Write(frame)
}
