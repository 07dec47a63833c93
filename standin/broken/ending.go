package broken

import (
	"fmt"
	"io"
	"net"
	"time"
)

// Framing is how an answer states where its body ends.
type Framing string

// The framings.
const (
	Length     Framing = "length"
	Chunks     Framing = "chunks"
	UntilClose Framing = "until close"
)

// End is how the sender of an answer ends its connection.
type End string

// The ends.
const (
	Reset End = "reset"
	// Closed closes the connection while bytes that the other end has sent are unread, so that the kernel resets it.
	Closed End = "closed"
	// Ended ends the stream and reads on.
	Ended End = "ended"
	// EndedAndReset ends the stream and then resets the connection.
	EndedAndReset End = "ended and then reset"
)

// Body is the body of the answers.
const Body = "first half, second half"

// sendPause lets the other end see what was sent before the next step.
const sendPause = 2 * time.Millisecond

// Ending is an answer with status 200 that is sent before the request was read, and the end of its connection.
type Ending struct {
	Framing Framing
	End     End
	// Sent is how much of Body is sent, in bytes.
	Sent int
}

// Endings returns all combinations, before, in and after the body.
func Endings() (all []Ending) {
	for _, framing := range []Framing{Length, Chunks, UntilClose} {
		for _, end := range []End{Reset, Closed, Ended, EndedAndReset} {
			for _, sent := range []int{0, len(Body) / 2, len(Body)} {
				all = append(all, Ending{framing, end, sent})
			}
		}
	}
	return all
}

func (e Ending) String() string {
	return fmt.Sprintf("%s, %s after %d bytes", e.Framing, e.End, e.Sent)
}

// Complete reports whether the receiver gets an answer that is complete as far as it can know.
func (e Ending) Complete() bool {
	if e.Framing == UntilClose {
		return e.End == Ended || e.End == EndedAndReset
	}
	return e.Sent == len(Body)
}

// Send sends the answer with further lines of its head, each with its line end, and ends the connection.
func (e Ending) Send(c *net.TCPConn, header string) {
	// An error means that the other end has closed the connection.
	_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+header+e.text())
	time.Sleep(sendPause)
	switch e.End {
	case Ended:
		_ = c.CloseWrite()
		_, _ = io.Copy(io.Discard, c)
	case EndedAndReset:
		_ = c.CloseWrite()
		time.Sleep(sendPause)
		_ = c.SetLinger(0)
	case Reset:
		_ = c.SetLinger(0)
	case Closed:
		// More bytes than this one have arrived then.
		_, _ = c.Read(make([]byte, 1))
	}
	_ = c.Close()
}

// text returns the rest of the head and the part of the body.
func (e Ending) text() string {
	part := Body[:e.Sent]
	switch e.Framing {
	case Length:
		return fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(Body), part)
	case Chunks:
		text := "Transfer-Encoding: chunked\r\n\r\n"
		if part != "" {
			text += fmt.Sprintf("%x\r\n%s\r\n", len(part), part)
		}
		if part == Body {
			text += "0\r\n\r\n"
		}
		return text
	}
	return "\r\n" + part
}
