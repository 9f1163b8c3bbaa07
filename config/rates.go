package config

import (
	"math"
	"time"
)

// Rates is the section [rates].
type Rates struct {
	// Slack is the number of calls by which the whole fleet may exceed a grant in any
	// SlackWindow while its owner can't be reached. With zero, the calls of a grant that
	// is too small to be divided are refused then.
	Slack       float64       `ini:"slack"`
	SlackWindow time.Duration `ini:"slack_window"`
}

func defaultRates() Rates {
	return Rates{SlackWindow: 5 * time.Second}
}

func (r *Rates) check(*Config) (key, problem string) {
	if !(r.Slack >= 0) || math.IsInf(r.Slack, 1) {
		return "slack", "must be a number of at least zero"
	}
	if r.SlackWindow <= 0 {
		return "slack_window", "must be above zero"
	}
	return "", ""
}
