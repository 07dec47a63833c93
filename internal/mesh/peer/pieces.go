package peer

import (
	"encoding/binary"

	"github.com/rotisserie/eris"

	"github.com/limpetdock/limpetdock/internal/mesh/egress"
)

var errPieces = eris.New("invalid piece of a frame, or too many of them")

// piecePrefix returns the prefix of a piece. The body of a frameChunk is the type of the whole
// frame, 1 for its last piece, and bytes of its body.
func piecePrefix(h egress.Handover) []byte {
	prefix := make([]byte, piecePrefixSize)
	setPrefix(prefix, frameChunk, h.Frame.Stream)
	binary.BigEndian.PutUint32(prefix, uint32(piecePrefixSize-prefixSize+len(h.Data)))
	prefix[prefixSize] = h.Frame.Data[4]
	if h.Last {
		prefix[prefixSize+1] = 1
	}
	return prefix
}

// incompleteCost is the memory, in bytes, that an incomplete frame takes besides its bytes.
const incompleteCost = 128

// pieces puts the frames of a connection together from their pieces. It must not be used by several
// goroutines at a time.
type pieces struct {
	uplink *Uplink
	frames map[uint32]*incompleteFrame
}

type incompleteFrame struct {
	kind frameType
	body []byte
}

// cost returns the memory that the frame takes.
func (f *incompleteFrame) cost() int64 { return int64(incompleteCost + len(f.body)) }

func newPieces(u *Uplink) *pieces { return &pieces{uplink: u, frames: map[uint32]*incompleteFrame{}} }

// add adds a piece. complete is true if it is the last one of its frame; body is then that of the
// whole frame. An error closes the connection.
func (p *pieces) add(stream uint32, piece []byte) (t frameType, body []byte, complete bool, err error) {
	const header = piecePrefixSize - prefixSize
	if len(piece) <= header || piece[1] > 1 {
		return 0, nil, false, errPieces
	}
	t, last, bytes := frameType(piece[0]), piece[1] == 1, piece[header:]
	f := p.frames[stream]
	if f == nil {
		f = &incompleteFrame{kind: t}
		p.frames[stream] = f
		p.uplink.incomplete.Add(f.cost())
	}
	if f.kind != t || t == frameHello || t == frameChunk || len(f.body)+len(bytes) > maxFrame {
		return 0, nil, false, errPieces
	}
	before := f.cost()
	f.body = append(f.body, bytes...)
	held := p.uplink.incomplete.Add(f.cost() - before)
	if last {
		p.drop(stream)
		return t, f.body, true, nil
	}
	if held > int64(p.uplink.queueBytes) {
		return 0, nil, false, errPieces
	}
	return t, nil, false, nil
}

// drop drops the pieces of a stream.
func (p *pieces) drop(stream uint32) {
	if p == nil {
		return
	}
	if f := p.frames[stream]; f != nil {
		delete(p.frames, stream)
		p.uplink.incomplete.Add(-f.cost())
	}
}

// close drops all pieces when the connection ends.
func (p *pieces) close() {
	for stream := range p.frames {
		p.drop(stream)
	}
}
