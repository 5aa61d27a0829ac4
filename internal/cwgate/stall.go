package cwgate

import "time"

// stallTimer watches an attempt for progress.
type stallTimer struct {
	timer *time.Timer
}

// newStallTimer returns a guard that acts when no byte came for the patience that progress
// sets. It does not watch yet.
func newStallTimer(act func()) *stallTimer {
	timer := time.AfterFunc(time.Hour, act)
	timer.Stop()
	return &stallTimer{timer: timer}
}

// reset sets the patience for the next byte; 0 ends the watch.
func (s *stallTimer) reset(patience time.Duration) {
	if patience <= 0 {
		s.timer.Stop()
		return
	}
	s.timer.Reset(patience)
}

func (s *stallTimer) stop() {
	s.timer.Stop()
}
