package headers

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestParseLoadReadsLoadReport(t *testing.T) {
	l := LoadReport{Running: 3, Waiting: 1, Slots: 6, ServiceTime: 5 * time.Millisecond, GuardTime: 5200 * time.Microsecond}
	require.Equal(t, "3,1,6,5000,5200", l.String())
	require.Equal(t, len("Limpetdock-Load: 3,1,6,5000,5200\r\n"), LineSize(Load, l.String()))
	got, ok := ParseLoad(l.String())
	require.True(t, ok)
	require.Equal(t, l, got)
	for _, bad := range []string{"", "1,2,3,4", "1,2,3,4,5,6", "-1,0,6,0,0", "a,b,c,d,e", "1,2,3,4,99999999999"} {
		_, ok := ParseLoad(bad)
		require.False(t, ok, bad)
	}
}
