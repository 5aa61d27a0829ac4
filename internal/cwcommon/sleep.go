package cwcommon

import (
	"context"
	"time"
)

// Sleep waits for the duration, or until ctx ends. Without a duration it returns at once.
func Sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		// The race detector's runtime may crash in a select with a timer that is due already.
		return
	}
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
