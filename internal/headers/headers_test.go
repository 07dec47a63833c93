package headers

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
)

// The values set by SetAll share an array: adding a value to one header must not
// overwrite the value of the next.
func TestAddAfterSetAllKeepsOtherValues(t *testing.T) {
	h := http.Header{}
	SetAll(h, Service, "a", Depth, "1")
	h.Add(Service, "b")
	require.Equal(t, http.Header{Service: {"a", "b"}, Depth: {"1"}}, h)
	for _, name := range append(internalNames, Service, TimeoutMs, Depth, RetriesLeft) {
		require.Equal(t, http.CanonicalHeaderKey(name), name)
	}
}
