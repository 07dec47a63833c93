package guard

import "context"

type noRoomKey struct{}

// WithoutCapacity marks a request that arrived on a connection above the connection
// limit. New work is refused; stored outcomes are still returned, such as the answer
// of an attempt that is collected over a new connection.
func WithoutCapacity(ctx context.Context) context.Context {
	return context.WithValue(ctx, noRoomKey{}, true)
}

func noRoom(ctx context.Context) bool { return ctx.Value(noRoomKey{}) != nil }
