package entry

import (
	"errors"
	"fmt"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// The node that may have run a request is gone. The caller must be answered with an unknown
// outcome quickly, even if its deadline is ten minutes away: after 200 ms if the process has
// ended, after two seconds if the node doesn't answer.
func TestUnresponsiveGuardIsQueriedForLimitedTime(t *testing.T) {
	refused := fmt.Errorf("dial: %w", syscall.ECONNREFUSED)
	unanswered := errors.New("timeout")
	cases := []struct {
		name     string
		errs     []error
		at       time.Duration
		exceeded bool
	}{
		{"one refusal may be a restart of the listener", []error{refused}, refusedLimit, false},
		{"several at once may be temporary", []error{refused, refused, refused}, 0, false},
		{"several over time show an ended process", []error{refused, refused, refused}, refusedLimit, true},
		{"no answer within the limit", []error{unanswered, unanswered, unanswered}, refusedLimit, false},
		{"no answer beyond the limit", []error{unanswered}, unansweredLimit, true},
	}
	p := resolveLimit{}
	p.replied(unansweredLimit)
	require.False(t, p.exceeded(unansweredLimit, unanswered), "a guard that replied and runs the request for long is queried again")
	for range maxReplies {
		p.replied(unansweredLimit)
	}
	require.True(t, p.exceeded(unansweredLimit, unanswered), "but not indefinitely")
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			p := resolveLimit{}
			exceeded := false
			for _, err := range c.errs {
				exceeded = p.exceeded(c.at, err)
			}
			require.Equal(t, c.exceeded, exceeded)
		})
	}
}
