package cwgate

import (
	"time"

	"github.com/clementinewell/clementinewell/internal/cwcommon"
)

// stallTimer detects an attempt that makes no progress for too long.
type stallTimer struct {
	timer *time.Timer
}

// newStallTimer returns a timer that calls onStall when the timeout set by the last reset
// has passed. The timer is stopped until the first reset.
func newStallTimer(common *cwcommon.Common, onStall func()) *stallTimer {
	timer := common.AfterFunc(time.Hour, "stallTimer", onStall)
	timer.Stop()
	return &stallTimer{timer: timer}
}

// reset restarts the timer with a timeout for the next progress; 0 stops it.
func (s *stallTimer) reset(timeout time.Duration) {
	if timeout <= 0 {
		s.timer.Stop()
		return
	}
	s.timer.Reset(timeout)
}

func (s *stallTimer) stop() {
	s.timer.Stop()
}
