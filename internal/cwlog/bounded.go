package cwlog

import (
	"sync"
	"time"

	"go.uber.org/zap/zapcore"
)

// successShare is the part of the rate that lines below a warning may use up: under
// load the lines of failures and of changed beliefs stay.
const successShare = 0.6

// bounded lets a number of lines a second pass and counts the others.
type bounded struct {
	zapcore.Core
	rate *rate
}

// rate counts the lines of the current second. It is shared by the cores that With
// derives.
type rate struct {
	mu     sync.Mutex
	writer *writer
	most   int
	begun  time.Time
	lines  int
}

func newBounded(core zapcore.Core, w *writer, linesPerSecond int) *bounded {
	return &bounded{Core: core, rate: &rate{writer: w, most: linesPerSecond}}
}

// With returns a core with more fields under the same bound.
func (b *bounded) With(fields []zapcore.Field) zapcore.Core {
	return &bounded{Core: b.Core.With(fields), rate: b.rate}
}

// Check passes an entry on unless the bound is reached.
func (b *bounded) Check(e zapcore.Entry, checked *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if !b.Enabled(e.Level) {
		return checked
	}
	if !b.rate.take(e.Level, time.Now()) {
		b.rate.writer.dropped.Add(1)
		return checked
	}
	return checked.AddCore(e, b)
}

func (r *rate) take(level zapcore.Level, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now.Sub(r.begun) >= time.Second {
		r.begun, r.lines = now, 0
	}
	most := r.most
	if level < zapcore.WarnLevel {
		most = int(successShare * float64(most))
	}
	if r.lines >= most {
		return false
	}
	r.lines++
	return true
}
