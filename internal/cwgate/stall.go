package cwgate

import (
	"context"
	"time"
)

// stall cancels an attempt that makes no progress.
type stall struct {
	timer *time.Timer
}

// newStall returns a guard that cancels after the patience; 0 never does.
func newStall(patience time.Duration, cancel context.CancelCauseFunc) *stall {
	if patience <= 0 {
		return &stall{}
	}
	return &stall{timer: time.AfterFunc(patience, func() { cancel(errStalled) })}
}

// progress notes that a byte came, and sets the patience for the next one.
func (s *stall) progress(patience time.Duration) {
	if s.timer == nil {
		return
	}
	if patience <= 0 {
		s.timer.Stop()
		return
	}
	s.timer.Reset(patience)
}

func (s *stall) stop() {
	if s.timer != nil {
		s.timer.Stop()
	}
}
