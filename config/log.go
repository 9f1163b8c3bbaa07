package config

import (
	"slices"

	"go.uber.org/zap/zapcore"
)

// Log is the section [log].
type Log struct {
	Level  string `ini:"level"`
	Format string `ini:"format"`
	// DecisionRate and DecisionBurst bound the lines about decisions on requests, for
	// each kind of decision: lines per second, and lines at once. With a rate of zero
	// none are written.
	DecisionRate  float64 `ini:"decision_rate"`
	DecisionBurst int     `ini:"decision_burst"`
}

// maxDecisionRate is the largest rate in lines per second, and burst in lines.
const maxDecisionRate = 10_000

func defaultLog() Log {
	return Log{Level: "info", Format: "json", DecisionRate: 10, DecisionBurst: 50}
}

func (l *Log) check(*Config) (key, problem string) {
	if _, err := zapcore.ParseLevel(l.Level); err != nil {
		return "level", "must be debug, info, warn or error"
	}
	if !slices.Contains([]string{"json", "console"}, l.Format) {
		return "format", "must be json or console"
	}
	if !(l.DecisionRate >= 0 && l.DecisionRate <= maxDecisionRate) {
		return "decision_rate", "must be between 0 and 10000 lines per second"
	}
	if l.DecisionBurst < 1 || l.DecisionBurst > maxDecisionRate {
		return "decision_burst", "must be between 1 and 10000 lines"
	}
	return "", ""
}
