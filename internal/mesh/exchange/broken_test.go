package exchange_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/limpetdock/limpetdock/internal/mesh/exchange"
	"github.com/limpetdock/limpetdock/standin/broken"
)

// Guards against bytes that are no valid answer being delivered or believed as one, or awaited until the time limit.
func TestBrokenAnswerIsAFailure(t *testing.T) {
	for _, form := range broken.Answers {
		t.Run(form.Name, func(t *testing.T) {
			t.Parallel()
			_, client := serve(t, func(c *connection) {
				for {
					id, err := c.next()
					if err != nil {
						return
					}
					if id == "sound" {
						c.answer(id, "sound")
						continue
					}
					c.write("%s", form.Text(200, "X-Id: "+id+"\r\n", "not a valid answer"))
				}
			})
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			_, f := client.Do(ctx, message("a"), always)
			require.NotNil(t, f)
			assert.Equal(t, exchange.Unknown, f.Outcome)
			require.NoError(t, ctx.Err())
			a, f := client.Do(ctx, message("sound"), always)
			require.Nil(t, f)
			require.Equal(t, "sound", string(a.Body))
		})
	}
}
