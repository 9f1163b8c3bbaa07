package config

import (
	"slices"

	"go.uber.org/zap/zapcore"
)

// Log is the section [log].
type Log struct {
	Level  string `ini:"level"`
	Format string `ini:"format"`
}

func defaultLog() Log {
	return Log{Level: "info", Format: "json"}
}

func (l *Log) check(*Config) (key, problem string) {
	if _, err := zapcore.ParseLevel(l.Level); err != nil {
		return "level", "must be debug, info, warn or error"
	}
	if !slices.Contains([]string{"json", "console"}, l.Format) {
		return "format", "must be json or console"
	}
	return "", ""
}
