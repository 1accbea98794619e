package retry

import (
	"context"
	"time"
)

// Pause sleeps for d or until ctx is done, whichever comes first.
func Pause(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
