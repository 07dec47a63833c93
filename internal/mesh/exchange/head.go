package exchange

import (
	"bufio"
	"bytes"
	"net/http"

	"github.com/rotisserie/eris"

	"github.com/limpetdock/limpetdock/internal/readlimit"
	"github.com/limpetdock/limpetdock/internal/upstream"
)

// errNoAnswer means that bytes arrived which are no answer.
var errNoAnswer = eris.New("the backend server sent bytes that are no answer")

// readHead reads the head of an answer to req; a nil req is a GET.
func readHead(r *readlimit.Reader, req *http.Request) (resp *http.Response, err error) {
	if err := checkStatusLine(r); err != nil {
		return nil, err
	}
	err = r.Head(readlimit.MaxHead, func(r *bufio.Reader) error {
		resp, err = http.ReadResponse(r, req)
		return err
	})
	if err != nil {
		return nil, err
	}
	return resp, upstream.Validate(resp)
}

// A status line begins with the version, such as "HTTP/1.1", a space and three digits.
const (
	versionPrefix = "HTTP/1."
	statusStart   = len(versionPrefix) + 2
	statusEnd     = statusStart + 3
)

// checkStatusLine waits for the start of a status line and fails as soon as a byte arrives that can't belong
// to one.
func checkStatusLine(r *readlimit.Reader) error {
	for n := 1; n <= statusEnd; n++ {
		if _, err := r.Peek(n); err != nil {
			return err
		}
		n = min(r.Buffered(), statusEnd)
		start, err := r.Peek(n)
		if err != nil {
			return err
		}
		if !startsStatusLine(start) {
			return errNoAnswer
		}
	}
	return nil
}

// startsStatusLine reports whether a status line may begin with start, of at most statusEnd bytes.
func startsStatusLine(start []byte) bool {
	prefix := start[:min(len(start), len(versionPrefix))]
	if !bytes.HasPrefix([]byte(versionPrefix), prefix) {
		return false
	}
	for i := len(versionPrefix); i < len(start); i++ {
		switch b := start[i]; {
		case i == statusStart-1:
			if b != ' ' {
				return false
			}
		case b < '0' || b > '9':
			return false
		case i == statusStart && (b < '1' || b > '5'):
			return false
		}
	}
	return true
}
