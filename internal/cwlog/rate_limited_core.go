package cwlog

import (
	"sync"
	"time"

	"go.uber.org/zap/zapcore"
)

// belowWarnShare is the share of the rate limit that lines below warn level may use.
// The rest is reserved, so that under load the lines about failures and state changes
// are still written.
const belowWarnShare = 0.6

// rateLimitedCore drops lines above a rate limit and counts the dropped lines.
type rateLimitedCore struct {
	zapcore.Core
	limiter *lineLimiter
}

// lineLimiter limits the number of lines in one-second windows. A core and all cores
// derived from it by With share one lineLimiter.
type lineLimiter struct {
	mu                sync.Mutex
	writer            *writer
	maxLinesPerSecond int
	windowStart       time.Time
	windowLines       int
}

func newRateLimitedCore(core zapcore.Core, w *writer, linesPerSecond int) *rateLimitedCore {
	return &rateLimitedCore{Core: core, limiter: &lineLimiter{writer: w, maxLinesPerSecond: linesPerSecond}}
}

// With returns a core with additional fields. It shares the rate limit of c.
func (c *rateLimitedCore) With(fields []zapcore.Field) zapcore.Core {
	return &rateLimitedCore{Core: c.Core.With(fields), limiter: c.limiter}
}

// Check adds c to the checked entry, or counts the entry as dropped if the rate limit
// is reached.
func (c *rateLimitedCore) Check(e zapcore.Entry, checked *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if !c.Enabled(e.Level) {
		return checked
	}
	if !c.limiter.allow(e.Level, time.Now()) {
		c.limiter.writer.dropped.Add(1)
		return checked
	}
	return checked.AddCore(e, c)
}

// allow reports whether a line of the level may be written now, and counts it if so.
func (l *lineLimiter) allow(level zapcore.Level, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.windowStart) >= time.Second {
		l.windowStart, l.windowLines = now, 0
	}
	limit := l.maxLinesPerSecond
	if level < zapcore.WarnLevel {
		limit = int(belowWarnShare * float64(limit))
	}
	if l.windowLines >= limit {
		return false
	}
	l.windowLines++
	return true
}
