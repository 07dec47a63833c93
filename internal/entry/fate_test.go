package entry

import (
	"errors"
	"fmt"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A booking's node is gone. Its caller has ten minutes, and needs to know now
// that nobody can tell: an ended process after moments, one that doesn't answer
// after two seconds.
func TestHowLongAGuardIsAsked(t *testing.T) {
	refused := fmt.Errorf("dial: %w", syscall.ECONNREFUSED)
	silent := errors.New("timeout")
	cases := []struct {
		name string
		errs []error
		at   time.Duration
		out  bool
	}{
		{"one refusal may be a restart of the port", []error{refused}, refusedLimit, false},
		{"several at once may be a moment's", []error{refused, refused, refused}, 0, false},
		{"several over a while are a process that has ended", []error{refused, refused, refused}, refusedLimit, true},
		{"silence for a while", []error{silent, silent, silent}, refusedLimit, false},
		{"silence for long", []error{silent}, unheardLimit, true},
	}
	p := patience{}
	p.heard(unheardLimit)
	require.False(t, p.out(unheardLimit, silent), "a guard that replied, and whose run took long, is asked again")
	for range maxReplies {
		p.heard(unheardLimit)
	}
	require.True(t, p.out(unheardLimit, silent), "but not for ever")
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			p := patience{}
			out := false
			for _, err := range c.errs {
				out = p.out(c.at, err)
			}
			require.Equal(t, c.out, out)
		})
	}
}
