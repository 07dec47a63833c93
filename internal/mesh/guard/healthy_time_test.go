package guard

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against learned base service times that fall because ordinary requests of a server that
// has just recovered are divided by its former slowness.
func TestHealthyTimeOfOrdinaryAndSlowRequests(t *testing.T) {
	const took = float64(time.Second)
	require.Equal(t, time.Second/4, measuredTime{ratio: 3, factor: 4}.healthyTime(took))
	require.Equal(t, time.Second/4, measuredTime{factor: 4}.healthyTime(took), "nothing to compare with")
	require.Equal(t, time.Second, measuredTime{ratio: 1.2, factor: 4}.healthyTime(took))
	require.Equal(t, time.Second, measuredTime{ratio: 0.5, factor: 1}.healthyTime(took))
}
