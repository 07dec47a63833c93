package guard

import "context"

type noRoomKey struct{}

// NoRoom marks a request that came on a connection for which there was no room.
// New work is refused; what the guard knows already is still told, such as the
// answer of an attempt that is collected over a new connection.
func NoRoom(ctx context.Context) context.Context {
	return context.WithValue(ctx, noRoomKey{}, true)
}

func noRoom(ctx context.Context) bool { return ctx.Value(noRoomKey{}) != nil }
