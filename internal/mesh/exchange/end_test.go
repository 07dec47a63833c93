package exchange_test

import (
	"fmt"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/limpetdock/limpetdock/internal/mesh/exchange"
	"github.com/limpetdock/limpetdock/standin/broken"
)

// Guards against a part of an answer that is delivered as the whole one, because the write of the request takes the
// error of a connection that was reset and the read sees only its end.
func TestAnswerIsCompleteOnlyIfItsConnectionDeliveredAll(t *testing.T) {
	const repeats = 10
	for _, ending := range broken.Endings() {
		t.Run(ending.String(), func(t *testing.T) {
			_, client := serve(t, func(c *connection) {
				r, err := http.ReadRequest(c.reader)
				if err != nil {
					return
				}
				ending.Send(c.Conn.(*net.TCPConn), "X-Id: "+r.Header.Get("X-Id")+"\r\n")
			})
			for i := range repeats {
				m := message(fmt.Sprint(i))
				m.Method, m.Body, m.AtMostOnce = http.MethodPost, make([]byte, 8<<20), true
				a, f := client.Do(t.Context(), m, always)
				if !ending.Complete() {
					require.NotNil(t, f, "upload %d was answered with a part", i)
					assert.Equal(t, exchange.Unknown, f.Outcome)
					continue
				}
				require.Nil(t, f)
				require.Equal(t, broken.Body[:ending.Sent], string(a.Body))
			}
		})
	}
}
