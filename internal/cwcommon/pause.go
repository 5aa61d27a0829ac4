package cwcommon

import (
	"context"
	"time"
)

// Pause waits for the time, or less if ctx ends before.
func Pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
