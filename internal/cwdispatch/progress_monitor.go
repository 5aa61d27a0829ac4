package cwdispatch

import (
	"sync/atomic"
	"time"

	"github.com/clementinewell/clementinewell/internal/cwcommon"
)

// progressMonitor monitors the progress of an attempt. It calls onStall after each
// stallTimeout without progress, and onIdleTimeout once after idleTimeout without
// progress.
type progressMonitor struct {
	// lastProgress is the time of the last progress, in nanoseconds since startedAt.
	lastProgress  atomic.Int64
	stallTimeout  time.Duration
	idleTimeout   time.Duration
	onStall       func()
	onIdleTimeout func()
	timer         *time.Timer
	startedAt     time.Time
}

func newProgressMonitor(common *cwcommon.Common, stallTimeout, idleTimeout time.Duration, onStall, onIdleTimeout func()) *progressMonitor {
	m := &progressMonitor{stallTimeout: stallTimeout, idleTimeout: idleTimeout, onStall: onStall, onIdleTimeout: onIdleTimeout, startedAt: time.Now()}
	m.timer = common.AfterFunc(idleTimeout, "progressMonitor", m.check)
	m.timer.Stop()
	return m
}

// start starts the timer. It is separate from the constructor because the callbacks
// may use variables that the caller sets after construction.
func (m *progressMonitor) start() {
	m.timer.Reset(m.stallTimeout)
}

// recordProgress records that data was received. It is cheap: it does not reset the
// timer.
func (m *progressMonitor) recordProgress() {
	m.lastProgress.Store(int64(time.Since(m.startedAt)))
}

// sinceProgress returns the time since the last progress.
func (m *progressMonitor) sinceProgress() time.Duration {
	return time.Since(m.startedAt) - time.Duration(m.lastProgress.Load())
}

func (m *progressMonitor) stop() {
	m.timer.Stop()
}

// check runs in the timer's goroutine. Checks never overlap, since each one restarts
// the timer at its end.
func (m *progressMonitor) check() {
	elapsed := m.sinceProgress()
	switch {
	case elapsed >= m.idleTimeout:
		m.onIdleTimeout()
		return
	case elapsed < m.stallTimeout:
		m.timer.Reset(m.stallTimeout - elapsed)
		return
	}
	m.onStall()
	m.timer.Reset(min(m.stallTimeout, m.idleTimeout-elapsed))
}
