package headers

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
)

// The values share an array: one that is added later to a name must not become
// the next name's.
func TestValuesThatAreSetTogetherStayApart(t *testing.T) {
	h := http.Header{}
	SetAll(h, Service, "a", Depth, "1")
	h.Add(Service, "b")
	require.Equal(t, http.Header{Service: {"a", "b"}, Depth: {"1"}}, h)
	for _, name := range append(internalNames, Service, TimeoutMs, Depth, RetriesLeft) {
		require.Equal(t, http.CanonicalHeaderKey(name), name)
	}
}
