package cwapp

import (
	"context"
	"time"

	"golang.org/x/sys/unix"

	"github.com/clementinewell/clementinewell/internal/cwcommon"
)

const (
	// freezeCheck is how often the clocks are compared.
	freezeCheck = 500 * time.Millisecond
	// freezeBound is the standstill above which beliefs need to be confirmed. It is
	// well below the seconds within which changes must be in force.
	freezeBound = 1500 * time.Millisecond
)

// freezeGuard notices that the process stood still: its timer fires late, or the
// machine was suspended, which only the boot clock counts.
type freezeGuard struct {
	onFrozen func(stood time.Duration)
}

func newFreezeGuard(onFrozen func(stood time.Duration)) *freezeGuard {
	return &freezeGuard{onFrozen: onFrozen}
}

// Run compares the clocks until ctx ends.
func (f *freezeGuard) Run(ctx context.Context) error {
	last := bootTime()
	for ctx.Err() == nil {
		cwcommon.Sleep(ctx, freezeCheck)
		now := bootTime()
		if stood := now - last - freezeCheck; stood > freezeBound {
			f.onFrozen(stood)
		}
		last = now
	}
	return nil
}

// bootTime returns the time since the machine started, with suspensions.
func bootTime() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Without this clock only a late timer shows a standstill.
		return time.Since(processStart)
	}
	return time.Duration(ts.Nano())
}

var processStart = time.Now()
