package readlimit

import (
	"bytes"
	"io"
	"sync/atomic"

	"github.com/rotisserie/eris"
)

var (
	// ErrBodyTooLarge means that a body is larger than allowed.
	ErrBodyTooLarge = eris.New("the body is too large")
	// ErrNoRoom means that the bodies that are being read take all the memory allowed for them.
	ErrNoRoom = eris.New("the bodies that are being read take too much memory")
)

const (
	// freeSize is the part of each body, in bytes, that isn't counted in a Budget. So smaller bodies are always
	// read, however many larger ones there are.
	freeSize = 256 << 10
	// firstChunk is the size of the first chunk of a body of unknown length, and maxChunk that of the largest
	// ones, in bytes.
	firstChunk = 4 << 10
	maxChunk   = 256 << 10
)

// Budget bounds the memory that bodies take together while they are read. Safe for concurrent use.
type Budget struct {
	limit int64
	held  atomic.Int64
}

// NewBudget returns a Budget of limit bytes, besides the first 256 KB of each body. A body that is the only
// larger one may exceed it.
func NewBudget(limit int64) *Budget { return &Budget{limit: limit} }

// Held returns how many bytes are counted at present.
func (b *Budget) Held() int64 { return b.held.Load() }

// ReadAll reads a whole body of at most limit bytes. declared is its length, or negative if that isn't known. The
// body counts in the Budget until release is called, which must happen once, also after an error.
func (b *Budget) ReadAll(body io.Reader, declared, limit int64) (data []byte, release func(), err error) {
	r := &reservation{budget: b}
	if declared > limit {
		return nil, r.release, ErrBodyTooLarge
	}
	chunks, err := r.read(body, declared, limit)
	if err != nil {
		return nil, r.release, err
	}
	return join(chunks), r.release, nil
}

// ReadFull reads size bytes. It takes memory only as bytes arrive, so that a wrong size costs nothing.
func ReadFull(r io.Reader, size int64) ([]byte, error) {
	chunks, err := (&reservation{}).read(r, size, size)
	if err != nil {
		return nil, err
	}
	return join(chunks), nil
}

// reservation is what one body takes of a Budget; a nil Budget has no bound.
type reservation struct {
	budget *Budget
	size   int64
}

// grow reserves memory for a body of size bytes.
func (r *reservation) grow(size int64) error {
	more := size - freeSize - r.size
	if more <= 0 || r.budget == nil {
		return nil
	}
	held := r.budget.held.Add(more)
	r.size += more
	if held > r.budget.limit && held > r.size {
		return ErrNoRoom
	}
	return nil
}

func (r *reservation) release() {
	r.budget.held.Add(-r.size)
	r.size = 0
}

// read reads a body until it ends. It is collected in chunks, so that memory is taken only as bytes arrive and a
// body that is given up was never copied.
func (r *reservation) read(body io.Reader, declared, limit int64) (chunks [][]byte, err error) {
	total, size := int64(0), int64(firstChunk)
	if declared >= 0 {
		limit, size = declared, maxChunk
	}
	for total != declared {
		size = min(size, limit-total)
		if total == limit {
			// Another byte shows that the body is too large.
			size = 1
		}
		if err := r.grow(total + size); err != nil {
			return nil, err
		}
		chunk := make([]byte, size)
		n, err := fill(body, chunk)
		total += int64(n)
		chunks = append(chunks, chunk[:n])
		switch {
		case total > limit:
			return nil, ErrBodyTooLarge
		case err == io.EOF && declared < 0:
			return chunks, nil
		case err == io.EOF && total != declared:
			return nil, io.ErrUnexpectedEOF
		case err != nil && err != io.EOF:
			return nil, err
		}
		size = min(2*size, maxChunk)
	}
	return chunks, nil
}

// fill reads until p is full. Unlike io.ReadFull it returns the reader's own error, as a body that was cut off
// ends with another one than a complete body.
func fill(r io.Reader, p []byte) (n int, err error) {
	for n < len(p) && err == nil {
		var more int
		more, err = r.Read(p[n:])
		n += more
	}
	return n, err
}

func join(chunks [][]byte) []byte {
	switch len(chunks) {
	case 0:
		return nil
	case 1:
		return chunks[0]
	}
	return bytes.Join(chunks, nil)
}
