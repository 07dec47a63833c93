package exchange_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/limpetdock/limpetdock/internal/mesh/exchange"
)

// answerBody is the body of the answers that end in different ways.
const answerBody = "first half, second half"

// ends are the ways in which a backend server ends a connection on which it hasn't read a whole upload.
var ends = map[string]func(c *net.TCPConn){
	"reset": func(c *net.TCPConn) {
		_ = c.SetLinger(0)
		_ = c.Close()
	},
	// Bytes that weren't read make the kernel reset the connection.
	"closed": func(c *net.TCPConn) { _ = c.Close() },
	"ended": func(c *net.TCPConn) {
		_ = c.CloseWrite()
		_, _ = io.Copy(io.Discard, c)
	},
	"ended and then reset": func(c *net.TCPConn) {
		_ = c.CloseWrite()
		time.Sleep(time.Millisecond)
		_ = c.SetLinger(0)
		_ = c.Close()
	},
}

// framings are the ways in which an answer states where its body ends.
var framings = map[string]func(body string) string{
	"length": func(body string) string {
		return fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(answerBody), body)
	},
	"chunks": func(body string) string {
		text := "Transfer-Encoding: chunked\r\n\r\n"
		if body != "" {
			text += fmt.Sprintf("%x\r\n%s\r\n", len(body), body)
		}
		if len(body) == len(answerBody) {
			text += "0\r\n\r\n"
		}
		return text
	},
	"until close": func(body string) string { return "\r\n" + body },
}

// Guards against a part of an answer that is delivered as the whole one, because the write of the request takes the
// error of a connection that was reset and the read sees only its end.
func TestAnswerIsCompleteOnlyIfItsConnectionDeliveredAll(t *testing.T) {
	const repeats = 10
	for framing, frame := range framings {
		for name, end := range ends {
			for _, sent := range []int{0, len(answerBody) / 2, len(answerBody)} {
				aborted := name == "reset" || name == "closed"
				complete := sent == len(answerBody) && (framing != "until close" || !aborted)
				if framing == "until close" && !aborted {
					// Nothing tells the part from a whole answer.
					complete = true
				}
				t.Run(fmt.Sprintf("%s, %s after %d bytes", framing, name, sent), func(t *testing.T) {
					_, client := serve(t, func(c *connection) {
						r, err := http.ReadRequest(c.reader)
						if err != nil {
							return
						}
						c.write("HTTP/1.1 200 OK\r\nX-Id: %s\r\n%s", r.Header.Get("X-Id"), frame(answerBody[:sent]))
						time.Sleep(2 * time.Millisecond)
						end(c.Conn.(*net.TCPConn))
					})
					for i := range repeats {
						m := message(fmt.Sprint(i))
						m.Method, m.Body, m.AtMostOnce = http.MethodPost, make([]byte, 8<<20), true
						a, f := client.Do(t.Context(), m, always)
						if !complete {
							require.NotNil(t, f, "upload %d was answered with a part", i)
							assert.Equal(t, exchange.Unknown, f.Outcome)
							continue
						}
						require.Nil(t, f)
						require.Equal(t, answerBody[:sent], string(a.Body))
					}
				})
			}
		}
	}
}
