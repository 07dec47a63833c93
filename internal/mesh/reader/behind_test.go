package reader

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestBehindCountsFromTheFirstWordOfWhatIsMissing(t *testing.T) {
	b := &behind{}
	require.Zero(t, b.lasting(7, time.Second))
	b.heard(8, 7, 2*time.Second)
	b.heard(9, 7, 4*time.Second)
	require.Equal(t, 3*time.Second, b.lasting(7, 5*time.Second))
	require.Zero(t, b.lasting(8, 5*time.Second), "what was due has come")
	b.heard(9, 8, 6*time.Second)
	require.Equal(t, time.Second, b.lasting(8, 7*time.Second))
	require.Zero(t, b.lasting(9, 7*time.Second))
}
