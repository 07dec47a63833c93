// Package readlimit bounds how much a node reads and holds of messages that it gets from others: the head
// of each message, and all bodies together.
package readlimit

import (
	"bufio"
	"io"

	"github.com/rotisserie/eris"
)

// MaxHead is the largest head of an answer that a node accepts, in bytes.
const MaxHead = 64 << 10

// ErrHeadTooLarge means that the head of a message is larger than allowed.
var ErrHeadTooLarge = eris.New("the head of the message is too large")

// Reader reads messages from a connection. It must not be used by several goroutines at a time.
type Reader struct {
	*bufio.Reader
	source *source
}

// NewReader returns a Reader with a buffer of size bytes.
func NewReader(r io.Reader, size int) *Reader {
	s := &source{reader: r, remaining: unlimited}
	return &Reader{bufio.NewReaderSize(s, size), s}
}

// Head calls parse, which reads the head of a message from the Reader. It fails with ErrHeadTooLarge if that
// takes more than limit bytes.
func (r *Reader) Head(limit int64, parse func(*bufio.Reader) error) error {
	// Bytes that are in the buffer already pass by the source, so the bytes that parse consumed are counted too.
	before := r.consumed()
	r.source.remaining = limit
	err := parse(r.Reader)
	r.source.remaining = unlimited
	if err == nil && r.consumed()-before > limit {
		return ErrHeadTooLarge
	}
	return err
}

// Err returns the error of the last read from the connection, or nil.
func (r *Reader) Err() error { return r.source.err }

// consumed returns how many bytes were read from the Reader.
func (r *Reader) consumed() int64 { return r.source.read - int64(r.Buffered()) }

// unlimited is the number of remaining bytes of a source without a limit.
const unlimited = -1

// source counts and bounds the bytes read from a connection.
type source struct {
	reader    io.Reader
	remaining int64
	read      int64
	err       error
}

// Read implements io.Reader.
func (s *source) Read(p []byte) (int, error) {
	if s.remaining == 0 {
		return 0, ErrHeadTooLarge
	}
	if s.remaining > 0 && int64(len(p)) > s.remaining {
		p = p[:s.remaining]
	}
	n, err := s.reader.Read(p)
	s.err = err
	s.read += int64(n)
	if s.remaining > 0 {
		s.remaining -= int64(n)
	}
	return n, err
}
