// Package endless sends bytes that never end and are no valid message, as a faulty peer does until the
// connection is closed.
package endless

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// Answer is the part of an answer that never ends.
type Answer string

// The parts of an answer.
const (
	StatusLine  Answer = "status-line"
	HeaderLines Answer = "header-lines"
	HeaderValue Answer = "header-value"
	// NoAnswer is text in place of an answer.
	NoAnswer Answer = "no-answer"
	// Zeros are zero bytes in place of an answer.
	Zeros Answer = "zeros"
	// BadStatus is a status that isn't valid, and then text.
	BadStatus Answer = "bad-status"
	// Interim are interim answers of status 103.
	Interim Answer = "interim"
	// LengthBody, ChunkedBody and UnframedBody are bodies with a length, in chunks and without either.
	LengthBody     Answer = "length-body"
	ChunkedBody    Answer = "chunked-body"
	UnframedBody   Answer = "unframed-body"
	ChunkExtension Answer = "chunk-extension"
	Trailer        Answer = "trailer"
	// ExtraText, ExtraAnswers and ExtraBody follow a complete answer: text, further answers, and one further
	// answer whose body never ends.
	ExtraText    Answer = "extra-text"
	ExtraAnswers Answer = "extra-answers"
	ExtraBody    Answer = "extra-body"
)

// Answers are all parts of an answer.
var Answers = []Answer{
	StatusLine, HeaderLines, HeaderValue, NoAnswer, Zeros, BadStatus, Interim, LengthBody, ChunkedBody, UnframedBody,
	ChunkExtension, Trailer, ExtraText, ExtraAnswers, ExtraBody,
}

// Complete reports whether a complete answer comes first.
func (a Answer) Complete() bool { return a == ExtraText || a == ExtraAnswers || a == ExtraBody }

// InBody reports whether the head of the answer is valid.
func (a Answer) InBody() bool {
	switch a {
	case LengthBody, ChunkedBody, UnframedBody, ChunkExtension, Trailer:
		return true
	}
	return false
}

// blockSize is the size of one write, in bytes, and blockPause the time between two of them: some 50 MB/s.
const (
	blockSize  = 64 << 10
	blockPause = 1300 * time.Microsecond
	// maxTime ends an exchange whose connection isn't closed.
	maxTime = 20 * time.Second
)

// block returns copies of text, of blockSize bytes together.
func block(text string) []byte { return bytes.Repeat([]byte(text), max(blockSize/len(text), 1)) }

// parts returns what is sent first and what is then sent again and again. header are lines of the answer's
// header.
func (a Answer) parts(header string) (first string, repeated []byte) {
	const ok = "HTTP/1.1 200 OK\r\n"
	complete := ok + header + "Content-Length: 2\r\n\r\nok"
	switch a {
	case StatusLine:
		return "HTTP/1.1 200 ", block("a")
	case HeaderLines:
		return ok + header, block("X-Filler: abcdefgh\r\n")
	case HeaderValue:
		return ok + header + "X-Filler: ", block("a")
	case Zeros:
		return "", block("\x00")
	case BadStatus:
		return "HTTP/1.1 999 ", block("a")
	case Interim:
		return "", block("HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n")
	case LengthBody:
		return ok + header + "Content-Length: 1099511627776\r\n\r\n", block("a")
	case ChunkedBody:
		return ok + header + "Transfer-Encoding: chunked\r\n\r\n", block("10\r\naaaaaaaaaaaaaaaa\r\n")
	case UnframedBody:
		return ok + header + "Connection: close\r\n\r\n", block("a")
	case ChunkExtension:
		return ok + header + "Transfer-Encoding: chunked\r\n\r\n10;x=", block("a")
	case Trailer:
		return ok + header + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n", block("X-Filler: abcdefgh\r\n")
	case ExtraText:
		return complete, block("no answer ")
	case ExtraAnswers:
		return complete, block(ok + "Content-Length: 2\r\n\r\nok")
	case ExtraBody:
		return complete + ok + "Content-Length: 1099511627776\r\n\r\n", block("a")
	}
	return "", block("no answer ")
}

// Sent is what was sent over one connection until it was closed.
type Sent struct {
	Bytes int64
	Took  time.Duration
	// Closed is false if the connection was still open after maxTime.
	Closed bool
}

// Log records what was sent. Safe for concurrent use.
type Log struct {
	mu   sync.Mutex
	sent []Sent
}

func (l *Log) add(s Sent) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sent = append(l.sent, s)
}

// Sent returns everything that was sent over connections that have ended.
func (l *Log) Sent() []Sent {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Sent(nil), l.sent...)
}

// Send sends an answer without end on the connection of a request. header is that of the answer.
func (a Answer) Send(w http.ResponseWriter, header http.Header, log *Log) error {
	hijacker, ok := w.(http.Hijacker)
	if !ok {
		return errors.New("the connection can't be taken over")
	}
	conn, _, err := hijacker.Hijack()
	if err != nil {
		return err
	}
	var lines bytes.Buffer
	if err := header.Write(&lines); err != nil {
		return err
	}
	first, repeated := a.parts(lines.String())
	log.add(Send(conn, first, repeated))
	return nil
}

// Send sends first, and then repeated again and again until the connection is closed.
func Send(conn net.Conn, first string, repeated []byte) Sent {
	defer func() { _ = conn.Close() }()
	start := time.Now()
	_ = conn.SetDeadline(start.Add(maxTime))
	n, err := io.WriteString(conn, first)
	total := int64(n)
	for err == nil {
		n, err = conn.Write(repeated)
		total += int64(n)
		time.Sleep(blockPause)
	}
	var timeout net.Error
	closed := !errors.As(err, &timeout) || !timeout.Timeout()
	return Sent{Bytes: total, Took: time.Since(start), Closed: closed}
}

// Request is the part of a request that never ends.
type Request string

// The parts of a request.
const (
	RequestLine        Request = "request-line"
	RequestHeaderLines Request = "request-header-lines"
	NoRequest          Request = "no-request"
	RequestLengthBody  Request = "request-length-body"
	RequestChunkedBody Request = "request-chunked-body"
	RequestTrailer     Request = "request-trailer"
)

// Requests are all parts of a request.
var Requests = []Request{RequestLine, RequestHeaderLines, NoRequest, RequestLengthBody, RequestChunkedBody, RequestTrailer}

// Parts returns what is sent first and what is then sent again and again, with the header lines of the request.
func (r Request) Parts(path, header string) (first string, repeated []byte) {
	post := fmt.Sprintf("POST %s HTTP/1.1\r\n%s", path, header)
	switch r {
	case RequestLine:
		return "GET " + path, block("a")
	case RequestHeaderLines:
		return post, block("X-Filler: abcdefgh\r\n")
	case RequestLengthBody:
		return post + "Content-Length: 1099511627776\r\n\r\n", block("a")
	case RequestChunkedBody:
		return post + "Transfer-Encoding: chunked\r\n\r\n", block("10\r\naaaaaaaaaaaaaaaa\r\n")
	case RequestTrailer:
		return post + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n", block("X-Filler: abcdefgh\r\n")
	}
	return "", block("no request ")
}
