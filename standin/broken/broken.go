// Package broken has answers that aren't valid HTTP, as faulty backend servers and stores send them.
package broken

import (
	"fmt"
	"strings"
)

// Answer is an answer that isn't valid HTTP.
type Answer struct {
	Name string
	// status is the code, and reason what follows it up to the end of the line.
	status, reason string
	// line is a line of the head.
	line string
	// framing is the start of a line that states where the body ends, so that no other one does.
	framing string
	// trailer is a line behind a body in chunks.
	trailer string
	// old is true for a body in chunks in version 1.0, which has none.
	old bool
}

const (
	lengthFraming = "Content-Length : "
	codingFraming = "Transfer-Encoding : "
)

// Answers are the forms of broken answers.
var Answers = []Answer{
	{Name: "status 000", status: "000", reason: " OK"},
	{Name: "status 000 without a reason", status: "000"},
	{Name: "status 099", status: "099", reason: " OK"},
	{Name: "status 600", status: "600", reason: " OK"},
	{Name: "status 999", status: "999", reason: " OK"},
	{Name: "two digits", status: "20", reason: " OK"},
	{Name: "four digits", status: "2000", reason: " OK"},
	{Name: "negative status", status: "-20", reason: " OK"},
	{Name: "signed status", status: "+20", reason: " OK"},
	{Name: "blank in a name", line: "X Filler: a"},
	{Name: "tab in a name", line: "X\tFiller: a"},
	{Name: "byte 00 in a name", line: "X\x00Filler: a"},
	{Name: "byte 01 in a name", line: "X\x01Filler: a"},
	{Name: "byte 7f in a name", line: "X\x7fFiller: a"},
	{Name: "byte 80 in a name", line: "X\x80Filler: a"},
	{Name: "no name", line: ": a"},
	{Name: "no colon", line: "X-Filler"},
	{Name: "blank ahead of the colon", line: "X-Filler : a"},
	{Name: "tab ahead of the colon", line: "X-Filler\t: a"},
	{Name: "blank ahead of the colon of the length", framing: lengthFraming},
	{Name: "blank ahead of the colon of the coding", framing: codingFraming},
	{Name: "chunks in version 1.0", old: true},
	{Name: "byte 00 in a value", line: "X-Filler: a\x00b"},
	{Name: "byte 0d in a value", line: "X-Filler: a\rb"},
	{Name: "blank in a name of the trailer", trailer: "X Filler: a"},
	{Name: "byte 01 in a name of the trailer", trailer: "X\x01Filler: a"},
}

// InTrailer reports whether the head of the answer is valid and its trailer isn't.
func (a Answer) InTrailer() bool { return a.trailer != "" }

// Text returns the answer with further lines of its head, each with its line end. Status is that of an answer whose
// status isn't broken.
func (a Answer) Text(status int, header, body string) string {
	code, reason := a.status, a.reason
	if code == "" {
		code, reason = fmt.Sprint(status), " OK"
	}
	head := "HTTP/1.1 " + code + reason + "\r\n" + header
	chunks := fmt.Sprintf("%x\r\n%s\r\n0\r\n", len(body), body)
	switch {
	case a.old:
		return strings.Replace(head, "HTTP/1.1", "HTTP/1.0", 1) + "Transfer-Encoding: chunked\r\n\r\n" + chunks + "\r\n"
	case a.trailer != "":
		return head + "Transfer-Encoding: chunked\r\n\r\n" + chunks + a.trailer + "\r\n\r\n"
	case a.framing == codingFraming:
		return head + codingFraming + "chunked\r\n\r\n" + chunks + "\r\n"
	case a.framing == lengthFraming:
		return fmt.Sprintf("%s%s%d\r\n\r\n%s", head, lengthFraming, len(body), body)
	case a.line != "":
		head += a.line + "\r\n"
	}
	return fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(body), body)
}
