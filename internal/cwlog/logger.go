// Package cwlog writes structured log lines without ever holding up the program:
// lines go through a bounded buffer, and what does not fit is counted and dropped.
package cwlog

import (
	"io"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Logger is a zap logger with its writer.
type Logger struct {
	*zap.Logger
	writer *writer
}

// NewLogger writes JSON lines of the level and above to out, at most so many a
// second. The level was checked with the settings.
func NewLogger(level string, linesPerSecond int, out io.Writer) *Logger {
	parsed, err := zapcore.ParseLevel(level)
	if err != nil {
		parsed = zapcore.InfoLevel
	}
	cfg := zap.NewProductionEncoderConfig()
	cfg.TimeKey, cfg.MessageKey = "time", "message"
	cfg.EncodeTime = zapcore.ISO8601TimeEncoder
	cfg.EncodeDuration = zapcore.MillisDurationEncoder
	w := newWriter(out)
	core := zapcore.NewCore(zapcore.NewJSONEncoder(cfg), w, parsed)
	return &Logger{Logger: zap.New(newRateLimitedCore(core, w, linesPerSecond)), writer: w}
}

// Close writes what is in the buffer, unless nobody reads it.
func (l *Logger) Close() {
	l.writer.close()
}
