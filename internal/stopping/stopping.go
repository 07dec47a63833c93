// Package stopping ends the requests of a server whose node stops and can't wait for them
// any longer.
package stopping

import (
	"context"
	"errors"

	"github.com/rotisserie/eris"
)

// Err is the cause of contexts that end because the node stops.
var Err = eris.New("the node stopped before the request was answered")

type baseKey struct{}

// NewContext returns the base context of a server's requests, and a function that ends it
// with the cause Err.
func NewContext() (ctx context.Context, end func()) {
	base, cancel := context.WithCancelCause(context.Background())
	return context.WithValue(base, baseKey{}, base), func() { cancel(Err) }
}

// Ended reports whether ctx has ended because the node stops.
func Ended(ctx context.Context) bool { return errors.Is(context.Cause(ctx), Err) }

// WithoutCancel is like context.WithoutCancel, but the result still ends when the node
// stops. The caller must call the function it returns.
func WithoutCancel(ctx context.Context) (context.Context, context.CancelFunc) {
	detached, cancel := context.WithCancelCause(context.WithoutCancel(ctx))
	base, ok := ctx.Value(baseKey{}).(context.Context)
	if !ok {
		return detached, func() { cancel(nil) }
	}
	unlink := context.AfterFunc(base, func() { cancel(Err) })
	return detached, func() {
		unlink()
		cancel(nil)
	}
}
