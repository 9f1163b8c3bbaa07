// Package event writes the numbered events of a daemon to its log.
//
// # Usage
//
//	log, err := event.Open(os.Stderr, "info", "json")
//	log.Emit(event.DaemonStarted, zap.String("vm", vm))
//
// Every event has a number that never changes, a level and one sentence;
// docs/EVENTS.md lists them for operators and a test holds it to the list in
// catalogue.go. Keys and tokens must never be passed as fields.
package event

import (
	"io"

	"chicorymast/core/fault"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// ID is the number of an event.
type ID int

// Definition describes one event.
type Definition struct {
	ID      ID
	Level   zapcore.Level
	Message string
}

// Log writes events.
type Log struct {
	zap   *zap.Logger
	level zap.AtomicLevel
}

// Open returns a log that writes to w in the format json or console.
func Open(w io.Writer, level, format string) (log *Log, err error) {
	defer fault.Note(&err, "open log")
	parsed, err := zap.ParseAtomicLevel(level)
	if err != nil {
		return nil, err
	}
	ec := zap.NewProductionEncoderConfig()
	ec.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	encoder := zapcore.NewJSONEncoder(ec)
	if format == "console" {
		encoder = zapcore.NewConsoleEncoder(ec)
	}
	core := zapcore.NewCore(encoder, zapcore.Lock(zapcore.AddSync(w)), parsed)
	return &Log{zap: zap.New(core), level: parsed}, nil
}

// Discard returns a log that writes nothing.
func Discard() *Log {
	return &Log{zap: zap.NewNop(), level: zap.NewAtomicLevel()}
}

// With returns a log that adds fields to every event.
func (l *Log) With(fields ...zap.Field) *Log {
	return &Log{zap: l.zap.With(fields...), level: l.level}
}

// SetLevel changes what is written.
func (l *Log) SetLevel(level string) {
	if parsed, err := zapcore.ParseLevel(level); err == nil {
		l.level.SetLevel(parsed)
	}
}

// Emit writes one event.
func (l *Log) Emit(id ID, fields ...zap.Field) {
	d := catalogue[id]
	if ce := l.zap.Check(d.Level, d.Message); ce != nil {
		ce.Write(append(fields, zap.Int("event", int(id)))...)
	}
}

// Sync flushes what is buffered.
func (l *Log) Sync() {
	_ = l.zap.Sync() // a terminal can't be synced
}
