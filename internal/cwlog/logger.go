// Package cwlog writes structured log lines without blocking the program. Lines go
// through a bounded buffer; lines that do not fit are dropped and counted.
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

// NewLogger returns a logger that writes JSON lines of the level and above to out, at
// most linesPerSecond per second. An invalid level is taken as info; the settings are
// validated before.
func NewLogger(level string, linesPerSecond int, out io.Writer) *Logger {
	minLevel, err := zapcore.ParseLevel(level)
	if err != nil {
		minLevel = zapcore.InfoLevel
	}
	cfg := zap.NewProductionEncoderConfig()
	cfg.TimeKey, cfg.MessageKey = "time", "message"
	cfg.EncodeTime = zapcore.ISO8601TimeEncoder
	cfg.EncodeDuration = zapcore.MillisDurationEncoder
	w := newWriter(out)
	core := zapcore.NewCore(zapcore.NewJSONEncoder(cfg), w, minLevel)
	return &Logger{Logger: zap.New(newRateLimitedCore(core, w, linesPerSecond)), writer: w}
}

// Close writes the buffered lines. It gives up after closeTimeout if out blocks.
func (l *Logger) Close() {
	l.writer.close()
}
