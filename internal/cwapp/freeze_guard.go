package cwapp

import (
	"context"
	"time"

	"golang.org/x/sys/unix"

	"github.com/clementinewell/clementinewell/internal/cwcommon"
)

const (
	// freezeCheckInterval is how often the clocks are compared.
	freezeCheckInterval = 500 * time.Millisecond
	// freezeThreshold is the standstill above which beliefs need to be confirmed. It is
	// well below the seconds within which changes must be in force.
	freezeThreshold = 1500 * time.Millisecond
)

// freezeDetector notices that the process stood still: its timer fires late, or the
// machine was suspended, which only the boot clock counts.
type freezeDetector struct {
	onFrozen func(stood time.Duration)
}

func newFreezeDetector(onFrozen func(stood time.Duration)) *freezeDetector {
	return &freezeDetector{onFrozen: onFrozen}
}

// Run compares the clocks until ctx ends.
func (f *freezeDetector) Run(ctx context.Context) error {
	last := timeSinceBoot()
	for ctx.Err() == nil {
		cwcommon.Sleep(ctx, freezeCheckInterval)
		now := timeSinceBoot()
		if stood := now - last - freezeCheckInterval; stood > freezeThreshold {
			f.onFrozen(stood)
		}
		last = now
	}
	return nil
}

// timeSinceBoot returns the time since the machine started, with suspensions.
func timeSinceBoot() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Without this clock only a late timer shows a standstill.
		return time.Since(processStart)
	}
	return time.Duration(ts.Nano())
}

var processStart = time.Now()
