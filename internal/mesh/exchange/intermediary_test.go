package exchange_test

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/limpetdock/limpetdock/internal/death"
	"github.com/limpetdock/limpetdock/internal/mesh/exchange"
)

// gateway answers requests in place of a backend server that died, once it has passed on a first one.
func gateway(c *connection) {
	id, err := c.next()
	if err != nil {
		return
	}
	c.answer(id, "served")
	for {
		if _, err := c.next(); err != nil {
			return
		}
		c.write("HTTP/1.1 502 Bad Gateway\r\nContent-Length: 0\r\n\r\n")
	}
}

// Guards against requests that wait until their deadline as a proxy's answer bears no id.
func TestAnswerOfIntermediaryEndsTheExchange(t *testing.T) {
	_, client := serve(t, gateway)
	_, f := client.Do(t.Context(), message("a"), always)
	require.Nil(t, f)
	_, f = client.Do(t.Context(), message("b"), always)
	require.NotNil(t, f)
	require.Equal(t, exchange.Unknown, f.Outcome)
	require.True(t, f.ByIntermediary())
}

// Guards against a death that is hidden by a proxy that answers in place of the backend server.
func TestDeathBehindIntermediaryIsNoticed(t *testing.T) {
	for name, c := range map[string]struct {
		serves bool
		want   death.Finding
	}{
		"nothing serves":         {false, death.Unserved},
		"a process serves again": {true, death.Accepts},
	} {
		t.Run(name, func(t *testing.T) {
			_, client := serve(t, gateway)
			_, f := client.Do(t.Context(), message("a"), always)
			require.Nil(t, f)
			_, f = client.Do(t.Context(), message("b"), always)
			serves := func(context.Context) bool { return c.serves }
			require.Equal(t, c.want, client.Investigate(t.Context(), f, serves))
			require.Equal(t, c.want.Died(), client.Investigate(t.Context(), f, serves) == death.Noticed)
		})
	}
}

// Guards against requests that are blamed for a death as a proxy answers before any process has.
func TestServerThatNeverAnsweredBehindIntermediaryIsNotBlamedOnRequests(t *testing.T) {
	_, client := serve(t, func(c *connection) {
		if _, err := c.next(); err == nil {
			c.write("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
		}
	})
	_, f := client.Do(t.Context(), message("a"), always)
	require.Equal(t, death.Unanswered, client.Investigate(t.Context(), f, func(context.Context) bool { return false }))
}
