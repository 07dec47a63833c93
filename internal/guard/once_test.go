package guard

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetdock/limpetdock/internal/virtualtime"
)

// slowZeros is a body of zeros without end.
type slowZeros struct{ closed atomic.Bool }

func (b *slowZeros) Read(p []byte) (int, error) {
	time.Sleep(time.Millisecond)
	clear(p)
	return len(p), nil
}

func (b *slowZeros) Close() error {
	b.closed.Store(true)
	return nil
}

// Guards against an answer without end that is read until its deadline though its caller has left.
func TestAnswerWithoutEndOfLostExchangeIsGivenUp(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		body := &slowZeros{}
		ended := make(chan result, 1)
		ended <- result{resp: &http.Response{Body: body}}
		go discard(ended)
		time.Sleep(time.Minute)
		require.True(t, body.closed.Load())
	})
}
