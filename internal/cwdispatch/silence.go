package cwdispatch

import (
	"sync/atomic"
	"time"
)

// progressMonitor watches an attempt for progress. It calls onSilent after a time without
// progress, again and again while that lasts, and onIdle at the end of a longer
// one.
type progressMonitor struct {
	lastProgress  atomic.Int64
	stallTimeout  time.Duration
	idleTimeout   time.Duration
	onStall       func()
	onIdleTimeout func()
	timer         *time.Timer
	startedAt     time.Time
}

func newProgressMonitor(silentAt, idleAt time.Duration, onSilent, onIdle func()) *progressMonitor {
	s := &progressMonitor{stallTimeout: silentAt, idleTimeout: idleAt, onStall: onSilent, onIdleTimeout: onIdle, startedAt: time.Now()}
	s.timer = time.AfterFunc(idleAt, s.check)
	s.timer.Stop()
	return s
}

// start starts to watch. It is apart from the constructor, since the functions
// that it calls may use what the caller stores in between.
func (s *progressMonitor) start() {
	s.timer.Reset(s.stallTimeout)
}

// recordProgress notes that a byte came. It is cheap: no timer is touched.
func (s *progressMonitor) recordProgress() {
	s.lastProgress.Store(int64(time.Since(s.startedAt)))
}

// sinceProgress returns the time since the last progress.
func (s *progressMonitor) sinceProgress() time.Duration {
	return time.Since(s.startedAt) - time.Duration(s.lastProgress.Load())
}

func (s *progressMonitor) stop() {
	s.timer.Stop()
}

// check runs in the timer's goroutine; no two checks overlap.
func (s *progressMonitor) check() {
	quiet := s.sinceProgress()
	switch {
	case quiet >= s.idleTimeout:
		s.onIdleTimeout()
		return
	case quiet < s.stallTimeout:
		s.timer.Reset(s.stallTimeout - quiet)
		return
	}
	s.onStall()
	s.timer.Reset(min(s.stallTimeout, s.idleTimeout-quiet))
}
