package wire

import (
	"net/http"

	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"
)

// KeysFormat is the format version of key table chunks. Nodes send and accept no
// other version.
const KeysFormat = 1

// KeysOffer asks a peer to store the key table of a stopping node until the next
// process on the node's VM fetches it.
type KeysOffer struct {
	Format      uint8  `msgpack:"f"`
	VM          string `msgpack:"v"`
	Incarnation uint64 `msgpack:"i"`
	// Bytes is the maximum total size of the chunks' data.
	Bytes uint64 `msgpack:"b"`
	// HoldMs is how long the peer may store the table from now on, in milliseconds.
	HoldMs uint32 `msgpack:"h"`
}

// KeysGrant is the reply to a KeysOffer. A Token of 0 refuses it.
type KeysGrant struct {
	Token uint64 `msgpack:"t"`
}

// KeysPart is one part of a key table. Parts are sent in order, first to the peer
// that stores the table and later from that peer to the next process.
type KeysPart struct {
	Token uint64 `msgpack:"t"`
	Seq   uint32 `msgpack:"s"`
	// Parts is the number of parts; a peer that stores no matching table sends 0.
	Parts uint32 `msgpack:"n"`
	// Data is an encoded KeysChunk; the storing peer doesn't decode it.
	Data []byte `msgpack:"d"`
}

// KeysAck is the storing peer's reply to a KeysPart.
type KeysAck struct {
	OK bool `msgpack:"o"`
}

// KeysRequest requests one part of the key table of the VM's previous process.
type KeysRequest struct {
	Format      uint8  `msgpack:"f"`
	VM          string `msgpack:"v"`
	Incarnation uint64 `msgpack:"i"`
	Seq         uint32 `msgpack:"s"`
}

// KeysChunk is the decoded data of a KeysPart. Only the first chunk has a Head.
type KeysChunk struct {
	Head    *KeysHead   `msgpack:"h,omitempty"`
	Records []KeyRecord `msgpack:"r"`
}

// KeysHead describes the settings under which the records were made. Times are
// sent as ages in milliseconds, relative to when the table was sealed.
type KeysHead struct {
	Incarnation uint64 `msgpack:"i"`
	Service     string `msgpack:"s"`
	LifetimeMs  int64  `msgpack:"l"`
	// HistoryMs is the age from which the records are complete. It is negative in a
	// process that started recently.
	HistoryMs int64       `msgpack:"m"`
	Targets   []string    `msgpack:"t"`
	Past      []KeysEpoch `msgpack:"p,omitempty"`
	// Records is the number of records in all chunks.
	Records int `msgpack:"n"`
}

// KeysEpoch is an earlier list of targets and how long ago it was replaced.
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

// KeyAnswer is a stored answer.
type KeyAnswer struct {
	//lint:ignore U1000 msgpack reads its tag
	_msgpack struct{} `msgpack:",as_array"`
	Status   int
	Header   http.Header
	Body     []byte
}

// EncodeKeys encodes a chunk.
func EncodeKeys(c *KeysChunk) ([]byte, error) {
	data, err := msgpack.Marshal(c)
	return data, eris.Wrap(err, "encode keys")
}

// DecodeKeys decodes a chunk.
func DecodeKeys(data []byte) (*KeysChunk, error) {
	c := &KeysChunk{}
	if err := msgpack.Unmarshal(data, c); err != nil {
		return nil, ErrBody
	}
	return c, nil
}

// Type returns the message type.
func (*KeysOffer) Type() Type { return TypeKeysOffer }

// Type returns the message type.
func (*KeysGrant) Type() Type { return TypeKeysGrant }

// Type returns the message type.
func (*KeysPart) Type() Type { return TypeKeysPart }

// Type returns the message type.
func (*KeysAck) Type() Type { return TypeKeysAck }

// Type returns the message type.
func (*KeysRequest) Type() Type { return TypeKeysRequest }
