package guard

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetdock/limpetdock/standin/broken"
)

// Guards against bytes that are no valid answer being delivered as one, or awaited until the time limit.
func TestBrokenAnswerIsAFailure(t *testing.T) {
	for _, form := range broken.Answers {
		t.Run(form.Name, func(t *testing.T) {
			t.Parallel()
			g := newGuardFor(t, startRawBackend(t, func(c net.Conn, _ *http.Request) {
				_, _ = io.WriteString(c, form.Text(http.StatusOK, "", "not a valid answer"))
			}))
			r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, readPath, http.NoBody)
			require.NoError(t, err)
			resp, err := g.forward(withPermit(t.Context(), newPermit(r, time.Now().Add(time.Minute))), r)
			if err != nil {
				return
			}
			got := make(chan error, 1)
			go func() {
				_, err := io.ReadAll(resp.Body)
				got <- err
			}()
			select {
			case err = <-got:
				require.Error(t, err)
			case <-time.After(5 * time.Second):
				require.Fail(t, "the rest of the answer is awaited")
			}
			require.NoError(t, resp.Body.Close())
		})
	}
}
