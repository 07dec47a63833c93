package settings

import (
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestThePageNamesEveryKey(t *testing.T) {
	page, err := os.ReadFile("../../docs/operators/settings.md")
	require.NoError(t, err)
	for _, f := range fields {
		row := "| `" + f.section + "` | `" + f.key + "` |"
		require.Contains(t, string(page), row)
		at := strings.Index(string(page), row)
		line, _, _ := strings.Cut(string(page)[at:], "\n")
		require.Contains(t, line, "| "+f.allowed+" |")
		if f.fallback != "" {
			require.Contains(t, line, "| `"+f.fallback+"` |")
		}
	}
}
