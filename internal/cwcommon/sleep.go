package cwcommon

import (
	"context"
	"time"
)

// Sleep waits for the duration, or until ctx ends.
func Sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
