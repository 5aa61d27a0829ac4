package cwgate

import "time"

// stall watches an attempt for progress.
type stall struct {
	timer *time.Timer
}

// newStall returns a guard that acts when no byte came for the patience that progress
// sets. It does not watch yet.
func newStall(act func()) *stall {
	timer := time.AfterFunc(time.Hour, act)
	timer.Stop()
	return &stall{timer: timer}
}

// progress sets the patience for the next byte; 0 ends the watch.
func (s *stall) progress(patience time.Duration) {
	if patience <= 0 {
		s.timer.Stop()
		return
	}
	s.timer.Reset(patience)
}

func (s *stall) stop() {
	s.timer.Stop()
}
