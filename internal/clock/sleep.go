package clock

import (
	"context"
	"time"
)

// Sleep waits for d or until ctx is done. It reports whether the full time elapsed.
func Sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
