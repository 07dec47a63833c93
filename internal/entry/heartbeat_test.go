package entry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetdock/limpetdock/internal/attempt"
)

// A node is frozen for an hour. Requests sent to it before wait in its sockets and look new
// when it resumes, although the records of their keys have been deleted.
func TestConnectionsOpenedBeforePauseEndedAreRecognized(t *testing.T) {
	start := time.Now()
	cases := []struct {
		name          string
		pause, opened time.Duration
		want          bool
	}{
		{"a short pause is within the slack of records", attempt.MaxKeyPause, 0, false},
		{"a connection from before a long pause", time.Hour, 0, true},
		{"one that waited during the pause to be accepted", time.Hour, time.Hour + acceptDelay/2, true},
		{"one opened after it", time.Hour, time.Hour + 2*acceptDelay, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var p heartbeat
			p.Beat(start)
			now := start.Add(max(c.pause, c.opened))
			if c.opened > c.pause {
				p.Beat(start.Add(c.pause))
			}
			require.Equal(t, c.want, p.MayPredatePause(start.Add(c.opened), now))
		})
	}
}
