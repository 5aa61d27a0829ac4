package cwcommon

import (
	"context"
	"time"
)

// Sleep waits for the time, or less if ctx ends before.
func Sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
