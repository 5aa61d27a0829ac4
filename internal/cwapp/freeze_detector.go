package cwapp

import (
	"context"
	"time"

	"golang.org/x/sys/unix"

	"github.com/clementinewell/clementinewell/internal/cwcommon"
)

const (
	// freezeCheckInterval is how often the elapsed time is checked.
	freezeCheckInterval = 500 * time.Millisecond
	// freezeThreshold is the freeze duration above which the instance's state must be
	// confirmed again. It is well below the seconds within which changes must take effect.
	freezeThreshold = 1500 * time.Millisecond
)

// freezeDetector detects that the process was frozen, because its timer fires late, or that
// the machine was suspended, a time that only the boot clock includes.
type freezeDetector struct {
	onFrozen func(frozenFor time.Duration)
}

func newFreezeDetector(onFrozen func(frozenFor time.Duration)) *freezeDetector {
	return &freezeDetector{onFrozen: onFrozen}
}

// Run compares the time that each sleep took with freezeCheckInterval, until ctx is done. It
// calls onFrozen if the difference exceeds freezeThreshold.
func (f *freezeDetector) Run(ctx context.Context) error {
	last := timeSinceBoot()
	for ctx.Err() == nil {
		cwcommon.Sleep(ctx, freezeCheckInterval)
		now := timeSinceBoot()
		if frozenFor := now - last - freezeCheckInterval; frozenFor > freezeThreshold {
			f.onFrozen(frozenFor)
		}
		last = now
	}
	return nil
}

// timeSinceBoot returns the time since the machine started, including time in suspension.
func timeSinceBoot() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Without the boot clock only late timers reveal a freeze; suspensions are missed.
		return time.Since(processStart)
	}
	return time.Duration(ts.Nano())
}

var processStart = time.Now()
