package peer

import (
	"bytes"
	"time"

	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/limpetdock/limpetdock/internal/mesh"
)

// extension holds the optional fields of all frames. It follows the frame's body if any field is
// set. Nodes of versions without it ignore the bytes after the body. Unlike the body, which is an
// array of a fixed number of fields, it is a map, so that fields can be added.
type extension struct {
	// Nested is that of a mesh.Request, CallsFailed and Callee are those of a mesh.Answer.
	Nested      bool   `msgpack:"n,omitempty"`
	CallsFailed bool   `msgpack:"f,omitempty"`
	Callee      string `msgpack:"m,omitempty"`
	// Proof and Evidence are those of a refusal.
	Proof    string `msgpack:"p,omitempty"`
	Evidence string `msgpack:"e,omitempty"`
	// CallsTo and CallSuccessPercent belong to a mesh.Load, as do LinkKBps, in kilobytes per second,
	// and LinkBacklogMs.
	CallsTo            string `msgpack:"c,omitempty"`
	CallSuccessPercent uint8  `msgpack:"s,omitempty"`
	LinkKBps           uint32 `msgpack:"l,omitempty"`
	LinkBacklogMs      uint16 `msgpack:"b,omitempty"`
	// Chunks is true if the node accepts frames in pieces, in a Hello and in load reports.
	Chunks bool `msgpack:"k,omitempty"`
}

const bytesPerKilobyte = 1000

// loadExtension returns the extension of a frame that carries a load report.
func loadExtension(l mesh.Load) extension {
	x := extension{CallsTo: l.CallsTo, LinkKBps: uint32(l.LinkRate / bytesPerKilobyte), LinkBacklogMs: clip16(int(l.LinkBacklog.Milliseconds()))}
	if l.CallsTo != "" {
		x.CallSuccessPercent = uint8(min(max(100*l.CallSuccess, 0), 100))
	}
	return x
}

// load returns a load report with the extension's fields.
func (x extension) load(b loadBody) mesh.Load {
	l := b.load()
	l.CallsTo, l.LinkRate, l.LinkBacklog = x.CallsTo, float64(x.LinkKBps)*bytesPerKilobyte, time.Duration(x.LinkBacklogMs)*time.Millisecond
	if l.CallsTo != "" {
		l.CallSuccess = float64(x.CallSuccessPercent) / 100
	}
	return l
}

// appendTo appends the extension to a frame's body unless it is empty.
func (x extension) appendTo(buf *bytes.Buffer) error {
	if x == (extension{}) {
		return nil
	}
	return eris.Wrap(msgpack.NewEncoder(buf).Encode(&x), "encode extension")
}

// decodeBody decodes a frame's body and its extension, if there is one.
func decodeBody(frame []byte, body any) (extension, error) {
	var x extension
	r := bytes.NewReader(frame)
	d := msgpack.GetDecoder()
	defer msgpack.PutDecoder(d)
	d.Reset(r)
	if err := d.Decode(body); err != nil {
		return x, eris.Wrap(err, "decode frame")
	}
	if r.Len() == 0 {
		return x, nil
	}
	return x, eris.Wrap(d.Decode(&x), "decode extension")
}
