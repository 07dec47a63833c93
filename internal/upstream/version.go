package upstream

import (
	"bytes"

	"github.com/rotisserie/eris"
)

// errCoding means that an answer of HTTP/1.0 states a transfer coding, so that it isn't known where its body ends (RFC
// 9112, section 6.1). net/http leaves the field out, and takes the coded bytes for the body.
var errCoding = eris.Wrap(errInvalid, "a transfer coding in HTTP/1.0")

var (
	oldVersion  = []byte("HTTP/1.0 ")
	codingField = []byte("transfer-encoding:")
)

// versionCheck reads the bytes of a connection up to the end of an answer's head, and finds transfer codings in heads of
// HTTP/1.0.
type versionCheck struct {
	// inHead is true from the first byte of a request to the end of the head of its answer.
	inHead bool
	// statusLine is true in the first line of the head.
	statusLine bool
	// line is the start of the current line, as long as codingField at most.
	line []byte
}

// begin is called when bytes of a request are written, which may go on when its answer has begun.
func (c *versionCheck) begin() {
	if !c.inHead {
		c.inHead, c.statusLine, c.line = true, true, c.line[:0]
	}
}

// add reads the next bytes. It returns false if the answer isn't valid.
func (c *versionCheck) add(p []byte) bool {
	for i := 0; i < len(p) && c.inHead; i++ {
		if p[i] == '\n' {
			c.endLine()
			continue
		}
		if len(c.line) < len(codingField) {
			c.line = append(c.line, p[i])
		}
		if c.statusLine && !bytes.HasPrefix(oldVersion, c.line[:min(len(c.line), len(oldVersion))]) {
			c.inHead = false
		}
		if !c.statusLine && bytes.EqualFold(c.line, codingField) {
			return false
		}
	}
	return true
}

func (c *versionCheck) endLine() {
	if !c.statusLine && len(bytes.TrimRight(c.line, "\r")) == 0 {
		c.inHead = false
	}
	c.statusLine, c.line = false, c.line[:0]
}
