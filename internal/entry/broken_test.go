package entry_test

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/limpetdock/limpetdock/standin/broken"
)

// Guards against bytes of a backend server that are no valid answer being passed on to callers.
func TestBrokenAnswerIsNotDelivered(t *testing.T) {
	for _, form := range broken.Answers {
		t.Run(form.Name, func(t *testing.T) {
			t.Parallel()
			for _, path := range []string{"/read", "/book"} {
				s := newScriptedBackend(t, form.Text(http.StatusOK, "", "not a valid answer"), false)
				got := newTestCluster(t, "http://"+s.Addr().String()).ask(0, http.MethodGet, path, "")
				require.NoError(t, got.err)
				require.Equal(t, http.StatusBadGateway, got.status, "%s: %q", path, got.body)
				require.Equal(t, "unknown", got.outcome)
			}
		})
	}
}
