// Package event writes numbered log events. Every event that a program can log
// is declared in this package's catalogue, so that operators can look up its number
// in docs/log-events.md.
package event

import (
	"io"
	"sync/atomic"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

// Level is the urgency of an event.
type Level string

// Levels, from least to most urgent.
const (
	Info  Level = "info"
	Warn  Level = "warn"
	Error Level = "error"
)

// Definition declares one event.
type Definition struct {
	Number  int
	Level   Level
	Text    string // fixed message; details are in the key-value pairs
	Meaning string // explanation for operators, with the action to take
}

// Logger writes events as logfmt lines. It is safe for concurrent use.
type Logger struct {
	base           log.Logger
	queue          *queue       // nil for a logger that writes synchronously
	nextDropReport atomic.Int64 // earliest time of the next report of dropped lines, Unix nanoseconds
}

// NewLogger returns a logger that writes to w; pairs are added to each line.
func NewLogger(w io.Writer, pairs ...any) *Logger {
	base := log.NewLogfmtLogger(log.NewSyncWriter(w))
	base = log.With(base, "ts", log.DefaultTimestampUTC)
	return &Logger{base: log.With(base, pairs...)}
}

// Log writes one event with its key-value pairs.
func (l *Logger) Log(d Definition, pairs ...any) {
	l.write(d, pairs)
	if l.queue != nil {
		l.queue.flush()
	}
}

func (l *Logger) write(d Definition, pairs []any) {
	leveled := level.Info(l.base)
	switch d.Level {
	case Warn:
		leveled = level.Warn(l.base)
	case Error:
		leveled = level.Error(l.base)
	}
	fields := append([]any{"event", d.Number, "msg", d.Text}, pairs...)
	// A failed write to the log must not stop the data path.
	_ = leveled.Log(fields...)
}
