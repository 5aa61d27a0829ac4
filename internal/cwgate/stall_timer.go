package cwgate

import "time"

// stallTimer detects an attempt that receives nothing for too long.
type stallTimer struct {
	timer *time.Timer
}

// newStallTimer returns a timer that calls act if no byte is received within the timeout
// set by reset. The timer is stopped until the first reset.
func newStallTimer(act func()) *stallTimer {
	timer := time.AfterFunc(time.Hour, act)
	timer.Stop()
	return &stallTimer{timer: timer}
}

// reset restarts the timer with a timeout for the next byte; 0 stops it.
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
