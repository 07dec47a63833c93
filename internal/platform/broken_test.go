package platform_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/limpetdock/limpetdock/standin/broken"
)

// Guards against bytes of the platform that are no valid answer being taken for a value.
func TestBrokenAnswerIsNoValue(t *testing.T) {
	for _, form := range broken.Answers {
		t.Run(form.Name, func(t *testing.T) {
			t.Parallel()
			srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				raw, _, err := http.NewResponseController(w).Hijack()
				if err != nil {
					panic(err)
				}
				defer func() { _ = raw.Close() }()
				_, _ = io.WriteString(raw, form.Text(http.StatusOK, "X-Version: 7\r\n", "[fleet]"))
			}))
			defer srv.Close()
			_, err := client(t, srv).Read(t.Context(), "fleet")
			require.Error(t, err)
		})
	}
}
