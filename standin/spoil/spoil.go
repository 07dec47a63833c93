// Package spoil answers requests that have run as a faulty backend server does: with an answer that proves nothing, but
// looks as if the request had been rejected.
package spoil

import (
	"bytes"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"time"
)

// Form is the form of a spoilt answer.
type Form string

// The forms of answers.
const (
	// Unproven is a whole answer whose status is that of a rejection, without the mark of one, and Contradictory a
	// whole answer with the mark and another status.
	Unproven      Form = "unproven"
	Contradictory Form = "contradictory"
	// ForeignRejection is a whole rejection of another request.
	ForeignRejection Form = "foreign-rejection"
	// CutHead and CutBody are rejections that end early, and CutSuccess is a success that does.
	CutHead    Form = "cut-head"
	CutBody    Form = "cut-body"
	CutSuccess Form = "cut-success"
	// BadHeader, BadLength and BadChunk are rejections that aren't valid HTTP, and NoAnswer is text in place of one.
	BadHeader Form = "bad-header"
	BadLength Form = "bad-length"
	BadChunk  Form = "bad-chunk"
	NoAnswer  Form = "no-answer"
	// BadName and BadStatus are rejections with a blank ahead of the colon of a field, and with status 000.
	BadName   Form = "bad-name"
	BadStatus Form = "bad-status"
	// Reset resets the connection without an answer, and ResetSuccess in the body of a success without a length.
	Reset        Form = "reset"
	ResetSuccess Form = "reset-success"
)

// Forms are all forms.
var Forms = []Form{
	Unproven, Contradictory, ForeignRejection, CutHead, CutBody, CutSuccess, BadHeader, BadLength, BadChunk, NoAnswer, BadName, BadStatus,
	Reset, ResetSuccess,
}

// Whole reports whether the answer is a valid one to the request, after which the connection stays open.
func (f Form) Whole() bool { return f == Unproven || f == Contradictory }

var (
	unprovenStatuses      = []int{http.StatusRequestTimeout, http.StatusTooManyRequests, http.StatusServiceUnavailable}
	contradictoryStatuses = []int{http.StatusOK, http.StatusInternalServerError, http.StatusBadGateway, http.StatusGatewayTimeout}
)

// Send answers a request. The headers of w are those of the backend server's answers to it, id is the one that echoes
// the request's ID, and mark is the one that marks requests which were not run.
func (f Form) Send(w http.ResponseWriter, id, mark string) error {
	h := w.Header()
	switch f {
	case Unproven:
		w.WriteHeader(pick(unprovenStatuses))
		return nil
	case Contradictory:
		h.Set(mark, "1")
		w.WriteHeader(pick(contradictoryStatuses))
		return nil
	case ForeignRejection:
		h.Set(id, "another-"+h.Get(id))
	}
	raw, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return err
	}
	defer func() { _ = raw.Close() }()
	if f != Reset {
		if _, err = raw.Write(f.bytes(h, mark)); err != nil {
			return err
		}
	}
	if f == ResetSuccess {
		// A reset discards what hasn't been delivered.
		time.Sleep(deliveryTime)
	}
	if f == Reset || f == ResetSuccess {
		return makeReset(raw)
	}
	return nil
}

// deliveryTime is how long the other end has to receive the start of an answer.
const deliveryTime = 5 * time.Millisecond

var errNoTCP = errors.New("only TCP connections can be reset")

// makeReset makes the close of a connection reset it.
func makeReset(c net.Conn) error {
	if wrapped, ok := c.(interface{ NetConn() net.Conn }); ok {
		c = wrapped.NetConn()
	}
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return errNoTCP
	}
	return tcp.SetLinger(0)
}

// bytes returns what is sent in place of an answer.
func (f Form) bytes(h http.Header, mark string) []byte {
	if f == NoAnswer {
		return []byte("503 not executed\r\n\r\n")
	}
	var b bytes.Buffer
	status := "503 Service Unavailable"
	switch f {
	case CutSuccess, ResetSuccess:
		status = "200 OK"
	case BadStatus:
		status = "000 None"
	}
	if status != "200 OK" {
		h.Set(mark, "1")
	}
	b.WriteString("HTTP/1.1 " + status + "\r\n")
	// A bytes.Buffer returns no error.
	_ = h.Write(&b)
	b.WriteString(map[Form]string{
		ForeignRejection: "Content-Length: 0\r\n\r\n",
		CutBody:          "Content-Length: 10\r\n\r\n123",
		CutSuccess:       "Content-Length: 10\r\n\r\n123",
		BadHeader:        "no colon\r\n\r\n",
		BadLength:        "Content-Length: -2\r\n\r\n",
		BadChunk:         "Transfer-Encoding: chunked\r\n\r\nzz\r\n",
		BadName:          "X-Filler : a\r\nContent-Length: 0\r\n\r\n",
		BadStatus:        "Content-Length: 0\r\n\r\n",
		ResetSuccess:     "\r\n123",
	}[f])
	return b.Bytes()
}

func pick(statuses []int) int { return statuses[rand.IntN(len(statuses))] }
