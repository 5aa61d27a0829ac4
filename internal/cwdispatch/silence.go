package cwdispatch

import (
	"sync/atomic"
	"time"
)

// silence watches an attempt for progress. It calls onSilent after a time without
// progress, again and again while that lasts, and onIdle at the end of a longer
// one.
type silence struct {
	last     atomic.Int64
	silentAt time.Duration
	idleAt   time.Duration
	onSilent func()
	onIdle   func()
	timer    *time.Timer
	start    time.Time
}

func newSilence(silentAt, idleAt time.Duration, onSilent, onIdle func()) *silence {
	s := &silence{silentAt: silentAt, idleAt: idleAt, onSilent: onSilent, onIdle: onIdle, start: time.Now()}
	s.timer = time.AfterFunc(idleAt, s.check)
	s.timer.Stop()
	return s
}

// begin starts to watch. It is apart from the constructor, since the functions
// that it calls may use what the caller stores in between.
func (s *silence) begin() {
	s.timer.Reset(s.silentAt)
}

// progress notes that a byte came. It is cheap: no timer is touched.
func (s *silence) progress() {
	s.last.Store(int64(time.Since(s.start)))
}

// quiet returns the time since the last progress.
func (s *silence) quiet() time.Duration {
	return time.Since(s.start) - time.Duration(s.last.Load())
}

func (s *silence) stop() {
	s.timer.Stop()
}

// check runs in the timer's goroutine; no two checks overlap.
func (s *silence) check() {
	quiet := s.quiet()
	switch {
	case quiet >= s.idleAt:
		s.onIdle()
		return
	case quiet < s.silentAt:
		s.timer.Reset(s.silentAt - quiet)
		return
	}
	s.onSilent()
	s.timer.Reset(min(s.silentAt, s.idleAt-quiet))
}
