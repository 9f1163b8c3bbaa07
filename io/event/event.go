// Package event writes the numbered events of a daemon to its log.
//
// # Usage
//
//	log, err := event.Open(os.Stderr, "info", "json")
//	log.Emit(event.DaemonStarted, zap.String("vm", vm))
//
// Every event has a fixed number, a level and a message of one sentence.
// docs/EVENTS.md lists them for operators; a test compares it with catalogue.go.
// Keys and tokens must never be passed as fields.
package event

import (
	"io"
	"log"
	"strconv"
	"strings"

	"chicorymast/core/fault"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// ID is the number of an event.
type ID int

// String returns the number as text.
func (id ID) String() string {
	return strconv.Itoa(int(id))
}

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
	// out is nil for a log that drops all events.
	out *asyncWriter
}

// Open returns a log that writes events of at least the level to w, in the format
// json or console. Writing never waits for w: lines that w does not take in time are
// dropped. It returns an error for an unknown level.
func Open(w io.Writer, level, format string) (log *Log, err error) {
	defer fault.Note(&err, "open log")
	minLevel, err := zap.ParseAtomicLevel(level)
	if err != nil {
		return nil, err
	}
	encoderConfig := zap.NewProductionEncoderConfig()
	encoderConfig.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	encoder := zapcore.NewJSONEncoder(encoderConfig)
	if format == "console" {
		encoder = zapcore.NewConsoleEncoder(encoderConfig)
	}
	out := newAsyncWriter(w)
	return &Log{zap: zap.New(zapcore.NewCore(encoder, out, minLevel)), level: minLevel, out: out}, nil
}

// Discard returns a log that drops all events.
func Discard() *Log {
	return &Log{zap: zap.NewNop(), level: zap.NewAtomicLevel()}
}

// With returns a log that adds the fields to every event.
func (l *Log) With(fields ...zap.Field) *Log {
	return &Log{zap: l.zap.With(fields...), level: l.level, out: l.out}
}

// SetLevel sets the lowest level that is written. An unknown level is ignored.
func (l *Log) SetLevel(level string) {
	if minLevel, err := zapcore.ParseLevel(level); err == nil {
		l.level.SetLevel(minLevel)
	}
}

// Emit writes an event with fields.
func (l *Log) Emit(id ID, fields ...zap.Field) {
	d := catalogue[id]
	if ce := l.zap.Check(d.Level, d.Message); ce != nil {
		ce.Write(append(fields, zap.Int("event", int(id)))...)
	}
}

// Enabled reports whether an event would be written at the present level.
func (l *Log) Enabled(id ID) bool {
	return l.zap.Core().Enabled(catalogue[id].Level)
}

// TakeDropped returns the number of lines that were dropped since the last call
// because the reader of the log was too slow.
func (l *Log) TakeDropped() uint64 {
	if l.out == nil {
		return 0
	}
	return l.out.takeDropped()
}

// Sync writes buffered events. It gives up after a second if nobody reads them.
func (l *Log) Sync() {
	_ = l.zap.Sync() // asyncWriter.Sync returns no error
}

// maxLibraryText is the largest part of a library's message that is logged, in
// bytes. Some quote what a peer has sent.
const maxLibraryText = 200

// CaptureStandardLog writes the messages that libraries send to the standard
// logger as events.
func (l *Log) CaptureStandardLog() {
	log.SetFlags(0)
	log.SetOutput(libraryWriter{l})
}

type libraryWriter struct{ log *Log }

func (w libraryWriter) Write(text []byte) (n int, err error) {
	shown := strings.ToValidUTF8(string(text[:min(len(text), maxLibraryText)]), "?")
	w.log.Emit(LibraryMessage, zap.String("text", strings.TrimSpace(shown)))
	return len(text), nil
}
