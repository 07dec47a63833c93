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
	// firstChunk is the size of the first chunk of a body of unknown length, and maxChunk that of the largest, in
	// bytes.
	firstChunk = 4 << 10
	maxChunk   = 256 << 10
)

// Budget bounds the memory that bodies take together while they are read. Safe for concurrent use.
type Budget struct {
	limit int64
	held  atomic.Int64
}

// NewBudget returns a Budget of limit bytes, besides the first 256 KB of each body.
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
	if declared >= 0 {
		data, err = r.readDeclared(body, declared)
	} else {
		data, err = r.readToEnd(body, limit)
	}
	return data, r.release, err
}

// reservation is what one body takes of a Budget.
type reservation struct {
	budget *Budget
	size   int64
}

// grow reserves memory for a body of size bytes.
func (r *reservation) grow(size int64) error {
	more := size - freeSize - r.size
	if more <= 0 {
		return nil
	}
	if r.budget.held.Add(more) > r.budget.limit {
		r.budget.held.Add(-more)
		return ErrNoRoom
	}
	r.size += more
	return nil
}

func (r *reservation) release() {
	r.budget.held.Add(-r.size)
	r.size = 0
}

// readDeclared reads a body of a known length.
func (r *reservation) readDeclared(body io.Reader, length int64) ([]byte, error) {
	if length == 0 {
		return nil, nil
	}
	if err := r.grow(length); err != nil {
		return nil, err
	}
	data := make([]byte, length)
	if _, err := io.ReadFull(body, data); err != nil {
		return nil, err
	}
	return data, nil
}

// readToEnd reads a body until it ends. It is collected in chunks, so that a body that is given up was never
// copied.
func (r *reservation) readToEnd(body io.Reader, limit int64) ([]byte, error) {
	var chunks [][]byte
	total := int64(0)
	for size := int64(firstChunk); ; size = min(2*size, maxChunk) {
		// One byte more than allowed shows that the body is too large.
		size = min(size, limit+1-total)
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
		case err == io.EOF:
			return join(chunks), nil
		case err != nil:
			return nil, err
		}
	}
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
	if len(chunks) == 1 {
		return chunks[0]
	}
	return bytes.Join(chunks, nil)
}
