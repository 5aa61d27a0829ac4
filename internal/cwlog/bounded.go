package cwlog

import (
	"sync"
	"time"

	"go.uber.org/zap/zapcore"
)

// belowWarnShare is the part of the rate that lines below a warning may use up: under
// load the lines of failures and of changed beliefs stay.
const belowWarnShare = 0.6

// rateLimitedCore lets a number of lines a second pass and counts the others.
type rateLimitedCore struct {
	zapcore.Core
	limiter *lineLimiter
}

// lineLimiter counts the lines of the current second. It is shared by the cores that With
// derives.
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

// With returns a core with more fields under the same bound.
func (b *rateLimitedCore) With(fields []zapcore.Field) zapcore.Core {
	return &rateLimitedCore{Core: b.Core.With(fields), limiter: b.limiter}
}

// Check passes an entry on unless the bound is reached.
func (b *rateLimitedCore) Check(e zapcore.Entry, checked *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if !b.Enabled(e.Level) {
		return checked
	}
	if !b.limiter.allow(e.Level, time.Now()) {
		b.limiter.writer.dropped.Add(1)
		return checked
	}
	return checked.AddCore(e, b)
}

func (r *lineLimiter) allow(level zapcore.Level, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now.Sub(r.windowStart) >= time.Second {
		r.windowStart, r.windowLines = now, 0
	}
	most := r.maxLinesPerSecond
	if level < zapcore.WarnLevel {
		most = int(belowWarnShare * float64(most))
	}
	if r.windowLines >= most {
		return false
	}
	r.windowLines++
	return true
}
