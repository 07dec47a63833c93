package exchange_test

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a second answer to an earlier sending of a request that is taken for the answer to a later one:
// a request that has run would be reported as rejected and run again elsewhere, or the other way round.
func TestSecondAnswerToEarlierSendingIsNotTakenForLaterOne(t *testing.T) {
	statuses := []int{
		http.StatusOK, http.StatusBadRequest, http.StatusMisdirectedRequest, http.StatusTooManyRequests,
		http.StatusInternalServerError, http.StatusServiceUnavailable, http.StatusGatewayTimeout,
	}
	for _, status := range statuses {
		for others := range 3 {
			for copies := 1; copies <= 3; copies++ {
				t.Run(fmt.Sprintf("%d, %d others between, %d copies", status, others, copies), func(t *testing.T) {
					testSecondAnswer(t, status, others, copies)
				})
			}
		}
	}
}

// testSecondAnswer sends a request whose first answer has the status, others after it, and then the same request
// once more. The backend server sends further copies of the first answer when it has read that.
func testSecondAnswer(t *testing.T, status, others, copies int) {
	var arrivals atomic.Int32
	_, client := serve(t, func(c *connection) {
		first := false
		for {
			id, err := c.next()
			if err != nil {
				return
			}
			if id != "repeated" {
				c.answer(id, "for "+id)
				continue
			}
			if arrivals.Add(1) == 1 {
				first = true
				c.reject(id, status)
				continue
			}
			for range copies {
				if first {
					c.reject(id, status)
				}
			}
			c.answer(id, "second sending")
		}
	})
	a, f := client.Do(t.Context(), message("repeated"), always)
	require.Nil(t, f)
	require.Equal(t, status, a.Status)
	for i := range others {
		id := fmt.Sprint(i)
		a, f = client.Do(t.Context(), message(id), always)
		require.Nil(t, f)
		require.Equal(t, "for "+id, string(a.Body))
	}
	a, f = client.Do(t.Context(), message("repeated"), always)
	require.Nil(t, f)
	require.Equal(t, "second sending", string(a.Body))
	require.EqualValues(t, 1, client.RepeatsDiverted())
}

func (c *connection) reject(id string, status int) {
	c.write("HTTP/1.1 %d Status\r\nX-Id: %s\r\nContent-Length: 5\r\n\r\nfirst", status, id)
}

// Guards against a connection per request at a backend server that rejects often: a connection that has carried an
// ID stays in use for others, and requests that are sent again alternate between a few connections.
func TestConnectionThatCarriedAnIDServesOthers(t *testing.T) {
	const requests, sendings = 200, 3
	b, client := serve(t, echo)
	for i := range requests {
		for range sendings {
			_, f := client.Do(t.Context(), message(fmt.Sprint(i)), always)
			require.Nil(t, f)
		}
	}
	require.EqualValues(t, sendings, b.accepted.Load())
}

// Guards against memory for IDs that grows as long as a connection lives.
func TestConnectionCarriesBoundedNumberOfRequests(t *testing.T) {
	const requests, perConnection = 3000, 1024
	b, client := serve(t, echo)
	for i := range requests {
		_, f := client.Do(t.Context(), message(fmt.Sprint(i)), always)
		require.Nil(t, f)
	}
	require.EqualValues(t, (requests+perConnection-1)/perConnection, b.accepted.Load())
}

// Guards against health probes, which have no ID, that each open a connection.
func TestRequestsWithoutIDShareAConnection(t *testing.T) {
	b, client := serve(t, echo)
	for range 5 {
		m := message("")
		m.Header.Del("X-Id")
		_, f := client.Do(t.Context(), m, always)
		require.Nil(t, f)
	}
	require.EqualValues(t, 1, b.accepted.Load())
}
