package wire

import (
	"net/http"

	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"
)

// KeysFormat is the version of the chunks of a key table. A node gives and takes
// no others.
const KeysFormat = 1

// KeysOffer asks a peer to keep the key table of a node that stops until the
// next process of its VM comes for it.
type KeysOffer struct {
	Format      uint8  `msgpack:"f"`
	VM          string `msgpack:"v"`
	Incarnation uint64 `msgpack:"i"`
	// Bytes bounds the chunks' data together.
	Bytes uint64 `msgpack:"b"`
	// HoldMs is how long the table may be kept from now on, in milliseconds.
	HoldMs uint32 `msgpack:"h"`
}

// KeysGrant answers a KeysOffer. A Token of 0 is a refusal.
type KeysGrant struct {
	Token uint64 `msgpack:"t"`
}

// KeysPart is one of a table's parts, in order: to the keeper, and later from it.
type KeysPart struct {
	Token uint64 `msgpack:"t"`
	Seq   uint32 `msgpack:"s"`
	// Parts is how many there are; 0 from a keeper that has nothing to give.
	Parts uint32 `msgpack:"n"`
	// Data is a KeysChunk, encoded; the keeper doesn't read it.
	Data []byte `msgpack:"d"`
}

// KeysKept answers a KeysPart to a keeper.
type KeysKept struct {
	OK bool `msgpack:"o"`
}

// KeysAsk asks a peer for a part of the table of the predecessor.
type KeysAsk struct {
	Format      uint8  `msgpack:"f"`
	VM          string `msgpack:"v"`
	Incarnation uint64 `msgpack:"i"`
	Seq         uint32 `msgpack:"s"`
}

// KeysChunk is what a KeysPart carries. The first one has the Head.
type KeysChunk struct {
	Head    *KeysHead   `msgpack:"h,omitempty"`
	Records []KeyRecord `msgpack:"r"`
}

// KeysHead tells under which rules the records were made. Times are told as
// ages at the moment when the table was sealed, in milliseconds.
type KeysHead struct {
	Incarnation uint64 `msgpack:"i"`
	Service     string `msgpack:"s"`
	LifetimeMs  int64  `msgpack:"l"`
	// ReachMs is how far the memory reached back; negative in a young process.
	ReachMs int64       `msgpack:"m"`
	Targets []string    `msgpack:"t"`
	Past    []KeysEpoch `msgpack:"p,omitempty"`
	// Records counts those in all chunks.
	Records int `msgpack:"n"`
}

// KeysEpoch is an earlier list of targets, and how long ago it ended.
type KeysEpoch struct {
	Targets []string `msgpack:"t"`
	AgoMs   int64    `msgpack:"a"`
}

// KeyRecord is the record of one key.
type KeyRecord struct {
	//lint:ignore U1000 msgpack reads its tag
	_msgpack    struct{} `msgpack:",as_array"`
	ID          string
	State       AttemptState
	Fingerprint uint64
	AgoMs       int64
	// Answer is set in the state AttemptDone.
	Answer *KeyAnswer
}

// KeyAnswer is a kept answer.
type KeyAnswer struct {
	//lint:ignore U1000 msgpack reads its tag
	_msgpack struct{} `msgpack:",as_array"`
	Status   int
	Header   http.Header
	Body     []byte
}

// EncodeKeys gives the data of a chunk.
func EncodeKeys(c *KeysChunk) ([]byte, error) {
	data, err := msgpack.Marshal(c)
	return data, eris.Wrap(err, "encode keys")
}

// DecodeKeys reads the data of a chunk.
func DecodeKeys(data []byte) (*KeysChunk, error) {
	c := &KeysChunk{}
	if err := msgpack.Unmarshal(data, c); err != nil {
		return nil, ErrBody
	}
	return c, nil
}

// Type tells the message's type.
func (*KeysOffer) Type() Type { return TypeKeysOffer }

// Type tells the message's type.
func (*KeysGrant) Type() Type { return TypeKeysGrant }

// Type tells the message's type.
func (*KeysPart) Type() Type { return TypeKeysPart }

// Type tells the message's type.
func (*KeysKept) Type() Type { return TypeKeysKept }

// Type tells the message's type.
func (*KeysAsk) Type() Type { return TypeKeysAsk }
